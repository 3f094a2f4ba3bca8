import {beforeEach, expect, test} from 'vitest';
import type {ReachabilityChange} from '../src/decisions/reachability/index.js';
import {
  Reachability,
  TunnelPeers,
} from '../src/decisions/reachability/index.js';
import {ManualClock, seededRandom} from '../src/time/index.js';

const SERVICE = 'listings';
const UNANSWERED_AFTER_MS = 100;

let clock: ManualClock;
let changes: ReachabilityChange[];
let reachability: Reachability;

beforeEach(() => {
  clock = new ManualClock(10_000);
  changes = [];
  reachability = withUpstreams(9);
});

function withUpstreams(count: number): Reachability {
  return new Reachability({
    clock,
    upstreamCount: () => count,
    onChange: change => changes.push(change),
  });
}

function probeWithoutAnswer(...upstreams: readonly string[]): void {
  upstreams.forEach(id => reachability.noteSent(SERVICE, id));
  clock.advance(UNANSWERED_AFTER_MS);
}

test('three upstreams without an answer for 100 ms are a cut', () => {
  ['i-1', 'i-2', 'i-3'].forEach(id => reachability.noteSent(SERVICE, id));
  clock.advance(UNANSWERED_AFTER_MS - 1);
  expect(reachability.isCutOff(SERVICE)).toBe(false);
  clock.advance(1);
  expect(reachability.isCutOff(SERVICE)).toBe(true);
  expect(reachability.isCutOff('swaps')).toBe(false);
});

test('three upstreams that refuse connections are a cut at once', () => {
  ['i-1', 'i-2', 'i-3'].forEach(id => reachability.noteFailure(SERVICE, id));
  expect(reachability.isCutOff(SERVICE)).toBe(true);
});

test.each([1, 2])('all upstreams of a service with %i are needed', count => {
  reachability = withUpstreams(count);
  for (let i = 0; i < count; i += 1) {
    expect(reachability.isCutOff(SERVICE)).toBe(false);
    reachability.noteFailure(SERVICE, `i-${i}`);
  }
  expect(reachability.isCutOff(SERVICE)).toBe(true);
});

test('an answer of any upstream is evidence against a cut', () => {
  probeWithoutAnswer('i-1', 'i-2');
  reachability.noteAnswer(SERVICE);
  probeWithoutAnswer('i-3');
  expect(reachability.isCutOff(SERVICE)).toBe(false);
});

test('one upstream that is probed again and again is no cut', () => {
  for (let i = 0; i < 5; i += 1) {
    probeWithoutAnswer('i-1');
    reachability.noteFailure(SERVICE, 'i-1');
  }
  expect(reachability.isCutOff(SERVICE)).toBe(false);
});

test('old failures are no evidence', () => {
  reachability.noteFailure(SERVICE, 'i-1');
  reachability.noteFailure(SERVICE, 'i-2');
  clock.advance(2_001);
  reachability.noteFailure(SERVICE, 'i-3');
  expect(reachability.isCutOff(SERVICE)).toBe(false);
});

test('a service without upstreams is not cut off', () => {
  reachability = withUpstreams(0);
  reachability.noteFailure(SERVICE, 'i-1');
  expect(reachability.isCutOff(SERVICE)).toBe(false);
});

// Guards against connections that live on and hide that new ones fail.
test('only a new connection ends a cut', () => {
  ['i-1', 'i-2', 'i-3'].forEach(id => reachability.noteFailure(SERVICE, id));
  expect(reachability.isCutOff(SERVICE)).toBe(true);
  reachability.noteAnswer(SERVICE);
  expect(reachability.isCutOff(SERVICE)).toBe(true);
  reachability.noteAnswer(SERVICE, true);
  expect(reachability.isCutOff(SERVICE)).toBe(false);
});

// Guards against a host that stood still and takes itself for cut off.
test('a late answer ends a cut for which only slow probes spoke', () => {
  probeWithoutAnswer('i-1', 'i-2', 'i-3');
  expect(reachability.isCutOff(SERVICE)).toBe(true);
  reachability.noteAnswer(SERVICE);
  expect(reachability.isCutOff(SERVICE)).toBe(false);
});

test('each end of a cut is reported once, with its evidence', () => {
  reachability.noteAnswer(SERVICE);
  clock.advance(500);
  probeWithoutAnswer('i-1', 'i-2', 'i-3');
  reachability.isCutOff(SERVICE);
  reachability.isCutOff(SERVICE);
  reachability.noteAnswer(SERVICE, true);
  reachability.noteAnswer(SERVICE, true);
  const evidence = {unreachable: 3, lastAnswerMsAgo: 600};
  expect(changes).toEqual([
    {service: SERVICE, isCutOff: true, evidence},
    {service: SERVICE, isCutOff: false, evidence},
  ]);
});

test('one direct probe a second looks for the end of a cut', () => {
  expect(reachability.takeDirectProbe(SERVICE)).toBe(false);
  ['i-1', 'i-2', 'i-3'].forEach(id => reachability.noteFailure(SERVICE, id));
  reachability.isCutOff(SERVICE);
  let probes = 0;
  for (let i = 0; i < 100; i += 1) {
    probes += Number(reachability.takeDirectProbe(SERVICE));
    clock.advance(100);
  }
  expect(probes).toBe(10);
});

// Guards against upstreams that nobody probes because probes of all wait on dead paths.
test('one probe at a time takes the direct path where no host helps', () => {
  ['i-1', 'i-2', 'i-3'].forEach(id => reachability.noteFailure(SERVICE, id));
  expect(reachability.isCutOff(SERVICE)).toBe(true);
  expect(reachability.takeFallbackProbe(SERVICE, 'i-1')).toBe(true);
  expect(reachability.takeFallbackProbe(SERVICE, 'i-2')).toBe(false);
  reachability.noteFailure(SERVICE, 'i-2');
  expect(reachability.takeFallbackProbe(SERVICE, 'i-2')).toBe(false);
  reachability.noteFailure(SERVICE, 'i-1');
  expect(reachability.takeFallbackProbe(SERVICE, 'i-2')).toBe(true);
  clock.advance(500);
  expect(reachability.takeFallbackProbe(SERVICE, 'i-3')).toBe(true);
});

function createPeers(
  near: readonly string[],
  all: readonly string[],
): TunnelPeers {
  const random = seededRandom(3);
  return new TunnelPeers({near: () => near, all: () => all, clock, random});
}

test('tunnels go through hosts of the data centre first', () => {
  const peers = createPeers(['a', 'b'], ['a', 'b', 'c']);
  const chosen = peers.choose(3);
  expect([...chosen.slice(0, 2)].sort()).toEqual(['a', 'b']);
  expect(chosen[2]).toBe('c');
});

test('tunnels spread over the hosts that may help', () => {
  const near = ['a', 'b', 'c', 'd'];
  const peers = createPeers(near, near);
  const counts = new Map<string, number>();
  for (let i = 0; i < 400; i += 1) {
    const [first = ''] = peers.choose(1);
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  expect(Math.min(...near.map(peer => counts.get(peer) ?? 0))).toBeGreaterThan(
    70,
  );
});

test('a host that could not help is left out for a second', () => {
  const peers = createPeers(['a', 'b'], ['a', 'b']);
  peers.noteFailure('a');
  expect(peers.choose(2)).toEqual(['b']);
  clock.advance(1_000);
  expect(peers.choose(2)).toHaveLength(2);
});

// Guards against a host that asks nobody because all have failed lately.
test('where all have failed, the one that failed first is tried', () => {
  const peers = createPeers(['a', 'b'], ['a', 'b']);
  peers.noteFailure('b');
  clock.advance(10);
  peers.noteFailure('a');
  expect(peers.choose(3)).toEqual(['b']);
  expect(createPeers([], []).choose(3)).toEqual([]);
});

// Guards against hosts that refuse their callers while those that stop still carry tunnels.
test('hosts that stop are asked last, and before those that failed', () => {
  const peers = createPeers(['a', 'b'], ['a', 'b', 'c', 'd']);
  peers.noteStopping('a');
  peers.noteFailure('c');
  expect(peers.choose(4)).toEqual(['b', 'd', 'a']);
  ['b', 'd'].forEach(peer => peers.noteFailure(peer));
  expect(peers.choose(4)).toEqual(['a']);
  clock.advance(500);
  peers.noteFailure('a');
  expect(peers.choose(4)).toHaveLength(1);
  clock.advance(1_000);
  expect([...peers.choose(2)].sort()).toEqual(['a', 'b']);
});
