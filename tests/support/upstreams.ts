/** Fixtures for tests of decisions: healthy, warm and nearby upstreams. */

import type {Clock} from '../../src/time/index.js';
import {seededRandom} from '../../src/time/index.js';
import {Backoffs} from '../../src/decisions/backoff/index.js';
import {Admission} from '../../src/decisions/placement/index.js';
import {
  RateLimitTable,
  RateLimits,
} from '../../src/decisions/rate_limits/index.js';
import {ColdLimits} from '../../src/decisions/warmup/index.js';
import type {
  RegisteredUpstream,
  UpstreamInService,
  UpstreamReport,
} from '../../src/decisions/registry/index.js';

export function reportOf(
  name: string,
  overrides: Partial<UpstreamReport> = {},
): UpstreamReport {
  return {
    name,
    bornAt: undefined,
    sequence: 1,
    address: '10.0.0.1:80',
    service: 's',
    dataCentre: 'east',
    slots: 6,
    leaving: false,
    coldMs: 0,
    ...overrides,
  };
}

export function registered(
  id: string,
  overrides: Partial<UpstreamReport> = {},
): RegisteredUpstream {
  return {...reportOf(id, overrides), id};
}

export function inService(
  id: string,
  overrides: Partial<UpstreamInService> = {},
): UpstreamInService {
  return {...registered(id), warmAt: 0, ...overrides};
}

/** For services whose cold upstreams need no limit. */
export function noColdLimits(clock: Clock): ColdLimits {
  return new ColdLimits({
    clock,
    random: seededRandom(1),
    hosts: () => 1,
    limitOf: () => undefined,
  });
}

/** Admission of a single host where only `cold` limits requests. */
export function coldLimitAdmission(clock: Clock, cold: ColdLimits): Admission {
  const rateLimits = new RateLimits({
    table: new RateLimitTable(clock),
    dataCentre: 'east',
    nearHosts: () => ({
      self: 'entry-1',
      others: [],
      areAllKnown: true,
      count: 1,
      fleetSize: 1,
    }),
    clock,
    random: seededRandom(1),
  });
  return new Admission({cold, rateLimits, backoffs: new Backoffs(clock)});
}
