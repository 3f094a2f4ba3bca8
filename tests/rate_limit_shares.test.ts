import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {NearHosts} from '../src/decisions/rate_limits/index.js';
import {
  RateLimitTable,
  RateLimits,
  Senders,
} from '../src/decisions/rate_limits/index.js';
import {readRateLimit} from '../src/platform/index.js';
import {decodeGossip, encodeGossip} from '../src/gossip/index.js';
import {LIMIT_CODEC} from '../src/rate_limits/index.js';
import type {Milliseconds} from '../src/time/index.js';
import {ManualClock, seededRandom} from '../src/time/index.js';
import {inService} from './support/upstreams.js';

const STEP_MS: Milliseconds = 20;
const SECOND_MS: Milliseconds = 1_000;
const WINDOW_MS: Milliseconds = 4_000;
/** Maximum transit time of a request. */
const TRANSIT_MS: Milliseconds = 200;
/** Time from a send until the host receives the response. */
const RESPONSE_MS: Milliseconds = 300;
/** Time within which hosts must apply a new limit. */
const CONVERGENCE_MS: Milliseconds = 3_000;
const MEASUREMENT_MS: Milliseconds = 60_000;
const LIMITS = [0.6, 1.4, 2.7, 8, 20];

interface Scenario {
  readonly perSecond: number;
  readonly hosts: number;
  readonly seed: number;
  /** Number of other hosts that each one knows; all by default. */
  readonly knownPeers?: number;
  /** Hosts of other data centres, which also send until they receive the limit. */
  readonly farHosts?: number;
  /** Host count that each host assumes; the actual one by default. */
  readonly estimatedHosts?: number;
}

/** Simulates hosts that send whenever allowed; returns when requests arrive. */
function arrivals(scenario: Scenario): readonly Milliseconds[] {
  const {perSecond, hosts, seed, farHosts = 0} = scenario;
  const clock = new ManualClock(10_000);
  const random = seededRandom(seed);
  const upstream = inService('u');
  const addresses = Array.from({length: hosts}, (_, i) => `h${i}`);
  const fleet = Array.from({length: hosts + farHosts}, (_, i) => {
    const book = new RateLimitTable(clock);
    const dataCentre = i < hosts ? 'east' : 'west';
    const nearHosts = (): NearHosts => nearHostsOf(scenario, addresses, i);
    const limits = new RateLimits({
      table: book,
      dataCentre,
      nearHosts,
      clock,
      random,
    });
    return {book, limits, responseAt: Infinity};
  });
  const arrived: Milliseconds[] = [];
  const endAt = clock.now() + CONVERGENCE_MS + MEASUREMENT_MS;
  const measuredFrom = clock.now() + CONVERGENCE_MS;
  while (clock.now() < endAt) {
    for (const host of fleet) {
      const now = clock.now();
      if (now >= host.responseAt) {
        host.book.noteLimit('u', perSecond);
        host.responseAt = Infinity;
      }
      if (random() < 0.5 && host.limits.allows(upstream)) {
        host.limits.noteSend(upstream);
        host.responseAt = Math.min(host.responseAt, now + RESPONSE_MS);
        arrived.push(now + TRANSIT_MS * random());
      }
    }
    clock.advance(STEP_MS);
  }
  return arrived.filter(at => at >= measuredFrom).sort((a, b) => a - b);
}

/** Each host's known peers follow it on a ring, so that hosts miss different peers. */
function nearHostsOf(
  {
    hosts,
    knownPeers = hosts - 1,
    farHosts = 0,
    estimatedHosts = hosts,
  }: Scenario,
  addresses: readonly string[],
  index: number,
): NearHosts {
  const ring = [...addresses.slice(index + 1), ...addresses.slice(0, index)];
  return {
    self: addresses[index] ?? `far-${index}`,
    others: ring.slice(0, knownPeers),
    areAllKnown: hosts <= 16,
    count: estimatedHosts,
    fleetSize: hosts + farHosts,
  };
}

function maxInWindow(times: readonly Milliseconds[]): number {
  let most = 0;
  let first = 0;
  times.forEach((at, last) => {
    while (at - (times[first] ?? at) >= WINDOW_MS) {
      first += 1;
    }
    most = Math.max(most, last - first + 1);
  });
  return most;
}

function allowed(perSecond: number): number {
  return Math.floor(1.5 * perSecond * (WINDOW_MS / SECOND_MS) + 5);
}

// Guards against hosts that each keep to a limit but together exceed it.
test.each([1, 2, 3, 5, 9, 16, 40, 128])(
  '%i hosts of a data centre keep to a limit together',
  hosts => {
    for (const perSecond of LIMITS) {
      for (let seed = 1; seed <= 4; seed += 1) {
        const times = arrivals({perSecond, hosts, seed, farHosts: 8});
        expect(maxInWindow(times)).toBeLessThanOrEqual(allowed(perSecond));
      }
    }
  },
);

// Guards against exceeding a limit while hosts know different peers.
test.each([3, 5, 9, 16])(
  '%i hosts that each miss a peer keep to a limit',
  hosts => {
    for (const perSecond of LIMITS) {
      for (let seed = 1; seed <= 4; seed += 1) {
        const times = arrivals({perSecond, hosts, seed, knownPeers: hosts - 2});
        expect(maxInWindow(times)).toBeLessThanOrEqual(allowed(perSecond));
      }
    }
  },
);

// Guards against exceeding a limit in a data centre that is larger than the average.
test('128 hosts that estimate their number at 64 keep to a limit', () => {
  for (const perSecond of LIMITS) {
    const scenario = {perSecond, hosts: 128, estimatedHosts: 64, seed: 1};
    expect(maxInWindow(arrivals(scenario))).toBeLessThanOrEqual(
      allowed(perSecond),
    );
  }
});

// Guards against hosts that send far less than a limit allows.
test.each([1, 2, 3, 5, 9, 16])(
  '%i hosts that know each other use most of a limit',
  hosts => {
    for (const perSecond of LIMITS) {
      const {length} = arrivals({perSecond, hosts, seed: 1});
      const utilization = length / (perSecond * (MEASUREMENT_MS / SECOND_MS));
      expect(utilization).toBeGreaterThan(0.85);
    }
  },
);

test('hosts that know the same hosts select the same senders', () => {
  const hosts = Array.from({length: 13}, (_, i) => `h${i}`);
  const senders = new Senders().of('u', hosts);
  expect(senders).toHaveLength(4);
  expect(new Senders().of('u', [...hosts].reverse())).toEqual(senders);
  const remaining = hosts.filter(host => host !== senders[0]);
  expect(new Senders().of('u', remaining)).toEqual(
    expect.arrayContaining(senders.slice(1)),
  );
});

function createBook(): {clock: ManualClock; book: RateLimitTable} {
  const clock = new ManualClock(100_000);
  return {clock, book: new RateLimitTable(clock)};
}

// Guards against responses that arrive out of order and end a current limit.
test('a response to a request sent before a limit was announced does not end it', () => {
  const {clock, book} = createBook();
  const sentAt = clock.now();
  clock.advance(100);
  expect(book.noteLimit('u', 2)).toBe(true);
  clock.advance(100);
  expect(book.noteNoLimit('u', sentAt)).toBe(false);
  expect(book.limitOf('u')?.perSecond).toBe(2);
  expect(book.noteNoLimit('u', clock.now() - 50)).toBe(true);
  expect(book.limitOf('u')).toBe(undefined);
});

// Guards against late reports that restore a limit which has ended or changed.
test('of two reports the one of the later response applies, in any order of arrival', () => {
  const {book} = createBook();
  book.noteLimit('u', 2);
  expect(book.merge({upstream: 'u', perSecond: 9, ageMs: 5_000})).toBe(false);
  expect(book.limitOf('u')?.perSecond).toBe(2);
  const {clock, book: other} = createBook();
  other.merge({upstream: 'u', perSecond: 2, ageMs: 5_000});
  expect(other.merge({upstream: 'u', perSecond: undefined, ageMs: 1_000})).toBe(
    true,
  );
  expect(other.merge({upstream: 'u', perSecond: 2, ageMs: 4_000})).toBe(false);
  expect(other.limitOf('u')).toBe(undefined);
  clock.advance(60_000);
  other.prune(() => true);
  expect(other.size).toBe(0);
});

// Guards against an age tolerance that discards the end of a limit.
test('a limit that ends right after a report also ends at other hosts', () => {
  const {book} = createBook();
  book.merge({upstream: 'u', perSecond: 2, ageMs: 40});
  expect(book.merge({upstream: 'u', perSecond: undefined, ageMs: 20})).toBe(
    true,
  );
  expect(book.limitOf('u')).toBe(undefined);
});

// Guards against gossip that keeps a limit from becoming stale.
test('a limit that two hosts send each other repeatedly still ages', () => {
  const {clock, book} = createBook();
  const {book: other} = {book: new RateLimitTable(clock)};
  book.noteLimit('u', 2);
  for (let i = 0; i < 100; i += 1) {
    const sent = book.recordOf('u');
    clock.advance(10);
    if (sent) {
      other.merge(sent);
    }
    const returned = other.recordOf('u');
    clock.advance(10);
    if (returned) {
      book.merge(returned);
    }
  }
  expect(book.recordOf('u')?.ageMs).toBe(2_000);
});

// Guards against a limit of 0 that excludes an upstream permanently.
test('a host occasionally sends a request to check whether a stale limit applies', () => {
  const clock = new ManualClock(0);
  const random = seededRandom(1);
  const upstream = inService('u');
  const book = new RateLimitTable(clock);
  book.noteLimit('u', 0);
  const limits = new RateLimits({
    table: book,
    dataCentre: 'east',
    nearHosts: () => ({
      self: 'a',
      others: ['b', 'c'],
      areAllKnown: true,
      count: 3,
      fleetSize: 13,
    }),
    clock,
    random,
  });
  let sent = 0;
  for (; clock.now() < 14_000; clock.advance(STEP_MS)) {
    expect(limits.allows(upstream)).toBe(false);
  }
  for (; clock.now() < 4_000_000; clock.advance(STEP_MS)) {
    if (limits.allows(upstream)) {
      limits.noteSend(upstream);
      sent += 1;
    }
  }
  expect(sent).toBeGreaterThan(5);
  expect(sent).toBeLessThan(30);
});

// Guards against hosts that exceed a limit right after they start.
test('a host sends nothing to a limited upstream before hosts are counted', () => {
  const clock = new ManualClock(0);
  const book = new RateLimitTable(clock);
  book.noteLimit('u', 2);
  const limits = new RateLimits({
    table: book,
    dataCentre: 'east',
    nearHosts: () => ({
      self: 'a',
      others: [],
      areAllKnown: true,
      count: 0,
      fleetSize: 0,
    }),
    clock,
    random: seededRandom(1),
  });
  clock.advance(5_000);
  expect(limits.allows(inService('u'))).toBe(false);
  expect(limits.allows(inService('v'))).toBe(true);
});

test.each(['0', '2.7', '1000000000000', '0.000001'])(
  'a limit of %s is parsed',
  text => {
    expect(readRateLimit({'server-limit': text})).toEqual({
      kind: 'valid',
      perSecond: Number(text),
    });
  },
);

test.each(['', ' ', '-1', 'NaN', 'Infinity', '1e12', '2, 3', '0x10', '1,5'])(
  'a limit of "%s" is malformed',
  text => {
    expect(readRateLimit({'server-limit': text}).kind).toBe('malformed');
  },
);

test('encoded limits are decoded again, and invalid rows are rejected', () => {
  const message = {
    kind: 'report',
    records: [
      {upstream: 'u', perSecond: 2.5, ageMs: 10},
      {upstream: 'v', perSecond: undefined, ageMs: 0},
    ],
  } as const;
  expect(decodeGossip(encodeGossip(message, LIMIT_CODEC), LIMIT_CODEC)).toEqual(
    message,
  );
  fc.assert(
    fc.property(fc.anything({maxDepth: 3}), row => {
      const record = LIMIT_CODEC.decode(row);
      expect(record === undefined || record.ageMs >= 0).toBe(true);
    }),
    {seed: 7, numRuns: 2_000},
  );
  for (const row of [
    ['u', -1, 0],
    ['u', NaN, 0],
    ['', 1, 0],
    ['u', 1, -1],
  ]) {
    expect(LIMIT_CODEC.decode(row)).toBe(undefined);
  }
});
