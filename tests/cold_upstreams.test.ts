import {afterEach, beforeEach, expect, test} from 'vitest';
import {maxPoissonMean} from '../src/decisions/limits/index.js';
import {UpstreamRegistry} from '../src/decisions/registry/index.js';
import type {ColdLimit} from '../src/decisions/warmup/index.js';
import {ColdLimits} from '../src/decisions/warmup/index.js';
import {UPSTREAM_TOPIC} from '../src/platform/index.js';
import type {ReportingUpstream} from '../src/standins/index.js';
import {upstreamRecord} from '../src/standins/index.js';
import type {Milliseconds} from '../src/time/index.js';
import {ManualClock, seededRandom} from '../src/time/index.js';
import {GatewaySystem, until} from './support/gateway.js';
import {inService, registered} from './support/upstreams.js';

/** As configured by the operators: 3.9 a second times 1.5, plus 8 in any one second. */
const BOUND: ColdLimit = {maxPerSecond: 13, sustainedPerSecond: 5.85};
const COLD_MS: Milliseconds = 3_000;
const STEP_MS: Milliseconds = 10;
const SECOND_MS: Milliseconds = 1_000;
const MAX_TRANSIT_MS: Milliseconds = 200;

let system: GatewaySystem;

beforeEach(() => {
  system = new GatewaySystem();
});

afterEach(() => system.close());

interface Simulation {
  readonly hosts: number;
  /** Number of hosts that each of them assumes. */
  readonly assumedHosts: number;
  readonly seed: number;
  /** Mean time between a host's requests that could be sent there. */
  readonly meanIntervalMs?: Milliseconds;
}

/** Arrival times at one cold upstream that every host would choose for all requests. */
function arrivals(simulation: Simulation): readonly Milliseconds[] {
  const {hosts, assumedHosts, seed, meanIntervalMs = 50} = simulation;
  const clock = new ManualClock(10_000);
  const random = seededRandom(seed);
  const warmAt = clock.now() + COLD_MS;
  const upstream = inService('a', {warmAt});
  const fleet = Array.from(
    {length: hosts},
    () =>
      new ColdLimits({
        clock,
        random,
        hosts: () => assumedHosts,
        limitOf: () => BOUND,
      }),
  );
  const arrived: Milliseconds[] = [];
  while (clock.now() < warmAt) {
    for (const limits of fleet) {
      const hasRequest = random() < STEP_MS / meanIntervalMs;
      if (hasRequest && limits.allows(upstream)) {
        limits.noteSend(upstream);
        arrived.push(clock.now() + MAX_TRANSIT_MS * random());
      }
    }
    clock.advance(STEP_MS);
  }
  return arrived.sort((a, b) => a - b);
}

function maxInAnySecond(times: readonly Milliseconds[]): number {
  return times.reduce((most, from) => {
    const within = times.filter(at => at >= from && at < from + SECOND_MS);
    return Math.max(most, within.length);
  }, 0);
}

test.each([2, 3, 5, 6, 13, 40, 128, 312, 1_000])(
  '%i hosts together stay within the limit of a cold upstream',
  hosts => {
    // If each of 128 hosts sends just one request to an upstream that has just started, it
    // gets 128 and crashes, and the requests that run there are lost.
    for (let seed = 1; seed <= 12; seed += 1) {
      const simulation = {hosts, assumedHosts: hosts, seed};
      expect(maxInAnySecond(arrivals(simulation))).toBeLessThanOrEqual(
        BOUND.maxPerSecond,
      );
    }
  },
);

test.each([2, 4, 8, 26, 128, 312, 1_000])(
  '%i hosts stay within the limit if they assume half of their number',
  hosts => {
    for (let seed = 1; seed <= 12; seed += 1) {
      const simulation = {hosts, assumedHosts: hosts / 2, seed};
      expect(maxInAnySecond(arrivals(simulation))).toBeLessThanOrEqual(
        BOUND.maxPerSecond,
      );
    }
  },
);

test('hosts that send at the same moment after a pause stay within the limit', () => {
  // Requests that waited for a second reach all hosts at the same moment. If permits
  // accumulated meanwhile, they would all be used at once.
  const clock = new ManualClock(10_000);
  const random = seededRandom(5);
  const upstream = inService('a', {warmAt: Infinity});
  const fleet = Array.from(
    {length: 312},
    () =>
      new ColdLimits({clock, random, hosts: () => 312, limitOf: () => BOUND}),
  );
  for (let round = 0; round < 60; round += 1) {
    clock.advance(SECOND_MS);
    const sent = fleet.filter(limits => limits.allows(upstream));
    sent.forEach(limits => limits.noteSend(upstream));
    expect(sent.length).toBeLessThanOrEqual(BOUND.maxPerSecond);
  }
});

test('cold upstreams still get some requests', () => {
  for (const hosts of [2, 5, 128, 1_000]) {
    let count = 0;
    for (let seed = 1; seed <= 12; seed += 1) {
      count += arrivals({hosts, assumedHosts: hosts, seed}).length;
    }
    const perSecond = count / 12 / (COLD_MS / SECOND_MS);
    expect(perSecond).toBeGreaterThan(0.5);
  }
});

test('no requests are sent while the number of hosts is unknown', () => {
  const simulation = {hosts: 50, assumedHosts: 0, seed: 1};
  expect(arrivals(simulation)).toEqual([]);
});

test('the rate of random permits grows faster than the limit', () => {
  const rates = [1, 5, 13, 40, 100].map(most => maxPoissonMean(most) / most);
  expect([...rates].sort((a, b) => a - b)).toEqual(rates);
  expect(rates.at(-1)).toBeGreaterThan(0.4);
});

test('an upstream is cold by its record or its probe answers, whichever is later', () => {
  const clock = new ManualClock(10_000);
  const limits = new ColdLimits({
    clock,
    random: seededRandom(1),
    hosts: () => 128,
    limitOf: () => BOUND,
  });
  const upstream = inService('a', {warmAt: 11_000});
  limits.note('a', 2_500);
  clock.advance(2_000);
  expect(limits.isCold(upstream)).toBe(true);
  limits.note('a', 100);
  expect(limits.isCold(upstream)).toBe(true);
  clock.advance(500);
  expect(limits.isCold(upstream)).toBe(false);
  expect(limits.isCold(inService('b', {warmAt: 13_000}))).toBe(true);
});

test('an upstream that becomes cold again is a change, its regular reports are not', () => {
  // Hosts that get changes from other hosts must learn that a warm upstream has become
  // cold; otherwise they would send it as many requests as any other.
  const clock = new ManualClock(10_000);
  const registry = new UpstreamRegistry(clock);
  const entry = (position: number, coldMs: Milliseconds) =>
    ({
      kind: 'present',
      name: 'a',
      position,
      upstream: registered('a', {coldMs, sequence: position}),
    }) as const;
  registry.apply([entry(1, 3_000)], 2);
  clock.advance(1_500);
  expect(registry.isChange(entry(2, 1_700))).toBe(false);
  clock.advance(3_000);
  expect(registry.isChange(entry(3, 0))).toBe(false);
  expect(registry.isChange(entry(4, 3_000))).toBe(true);
});

test('entries for other hosts contain the remaining cold time', () => {
  const clock = new ManualClock(10_000);
  const registry = new UpstreamRegistry(clock);
  const upstream = registered('a', {coldMs: 3_000});
  registry.load({
    entries: [{kind: 'present', name: 'a', position: 1, upstream}],
    end: 2,
  });
  clock.advance(2_000);
  expect(registry.all[0]?.upstream?.coldMs).toBe(1_000);
  clock.advance(60_000);
  expect(registry.all[0]?.upstream?.coldMs).toBe(0);
});

/** Sends requests to both hosts as fast as they answer; returns the statuses. */
async function sendLoad(forMs: Milliseconds): Promise<readonly number[]> {
  const until = performance.now() + forMs;
  const statuses: number[] = [];
  const caller = async (index: number): Promise<void> => {
    const host = system.hosts[index % system.hosts.length];
    while (host && performance.now() < until) {
      const {status} = await system.call(host, {timeLeftMs: 400});
      statuses.push(status);
    }
  };
  await Promise.all(Array.from({length: 16}, (_, index) => caller(index)));
  return statuses;
}

async function startUnderLoad(): Promise<ReportingUpstream> {
  system.configure(1, undefined, {}, {coldPerSecond: 3.9});
  const upstream = await system.addUpstream('i-1');
  await system.startReadyHost('east');
  await system.startReadyHost('east');
  await until(() => system.hosts.every(({host}) => host.isCounted));
  expect(await sendLoad(200)).toContain(200);
  return upstream;
}

test('an upstream that turns cold amid a burst is not overwhelmed', async () => {
  // An upstream in use becomes cold at any moment, and only its probe answers say so. If
  // hosts kept up their rate, they would send it hundreds of requests, and it would crash.
  const upstream = await startUnderLoad();
  upstream.startColdPhase(COLD_MS, BOUND.maxPerSecond);
  const statuses = await sendLoad(COLD_MS / 2);
  expect(upstream.hasEnded).toBe(false);
  expect(new Set(statuses)).toEqual(new Set([200, 503]));
});

test('an upstream whose record says that it is cold is not overwhelmed', async () => {
  const upstream = await startUnderLoad();
  const before = upstream.runs.length;
  const cold = {seq: 2, coldMs: 60_000};
  system.storeServer.put(
    UPSTREAM_TOPIC,
    'i-1',
    upstreamRecord(upstream.address, 'listings', 'east', 'ready', cold),
  );
  await until(async () => (await sendLoad(50)).includes(503));
  upstream.startColdPhase(60_000, BOUND.maxPerSecond);
  await sendLoad(COLD_MS / 2);
  expect(upstream.hasEnded).toBe(false);
  expect(upstream.runs.length).toBeGreaterThan(before);
});
