/** Upstreams as tests of decisions need them: sound, warm and nearby. */

import type {
  RegisteredUpstream,
  UpstreamInService,
  UpstreamReport,
} from '../../src/decisions/registry/index.js';

export function reportOf(
  name: string,
  differing: Partial<UpstreamReport> = {},
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
    ...differing,
  };
}

export function registered(
  id: string,
  differing: Partial<UpstreamReport> = {},
): RegisteredUpstream {
  return {...reportOf(id, differing), id};
}

export function inService(
  id: string,
  differing: Partial<UpstreamInService> = {},
): UpstreamInService {
  return {...registered(id), warmAt: 0, ...differing};
}
