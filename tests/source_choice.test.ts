import {beforeEach, expect, test} from 'vitest';
import type {Peer} from '../src/decisions/relay/index.js';
import {SourceChoice, pauseAfter} from '../src/decisions/relay/index.js';
import {ManualClock} from '../src/time/index.js';

const FIRST: Peer = {address: 'a', dataCentre: 'east', rank: 1};
const SECOND: Peer = {address: 'b', dataCentre: 'east', rank: 2};
const SELF: Peer = {address: 'c', dataCentre: 'east', rank: 3};
const LATER: Peer = {address: 'd', dataCentre: 'east', rank: 4};
const FAR: Peer = {address: 'e', dataCentre: 'west', rank: 0};
const FAR_LATER: Peer = {address: 'f', dataCentre: 'west', rank: 5};

let clock: ManualClock;
let choice: SourceChoice;

beforeEach(() => {
  clock = new ManualClock();
  choice = new SourceChoice('east', clock);
  choice.identify('c');
  choice.setPeers([LATER, SELF, SECOND, FIRST, FAR_LATER, FAR]);
});

function followed(): Peer | undefined {
  const source = choice.preferred();
  return source.kind === 'peer' ? source.peer : undefined;
}

test('the host of the data centre that registered first is followed', () => {
  expect(followed()).toEqual(FIRST);
});

test('the next is followed when the first breaks off', () => {
  choice.failed(FIRST, 'unreachable');
  expect(followed()).toEqual(SECOND);
});

test('the first of a data centre follows an earlier host elsewhere', () => {
  choice.failed(FIRST, 'unreachable');
  choice.failed(SECOND, 'unreachable');
  expect(followed()).toEqual(FAR);
});

test('nobody follows a host that registered later', () => {
  // Hosts of two data centres that follow each other would both believe that
  // the other reads the store, and hear of no change any more.
  [FIRST, SECOND, FAR].forEach(peer => choice.failed(peer, 'unreachable'));
  expect(followed()).toBeUndefined();
});

test('a host without anybody before it reads the store', () => {
  [FIRST, SECOND, FAR].forEach(peer => choice.failed(peer, 'unreachable'));
  expect(choice.preferred()).toEqual({kind: 'store', delayMs: 0});
});

test('a host elsewhere gets a shorter head start than one nearby', () => {
  // A data centre that is cut off from the others must not wait for them: its
  // own hosts hear of changes from this one alone.
  const near = choice.preferred();
  choice.failed(FIRST, 'unreachable');
  choice.failed(SECOND, 'unreachable');
  const far = choice.preferred();
  expect(near.kind === 'peer' && near.headStartMs).toBe(800);
  expect(far.kind === 'peer' && far.headStartMs).toBe(80);
});

test('hosts that lost their reader together read one after the other', () => {
  // The reader dies and nobody has fresh news. If all read at once, a hundred
  // hosts would ask the store in the same moment.
  [FIRST, SECOND, FAR].forEach(peer => choice.failed(peer, 'stale'));
  expect(choice.preferred()).toEqual({kind: 'store', delayMs: 80});
});

test('a peer that failed is tried again, later each time', () => {
  choice.failed(FIRST, 'unreachable');
  clock.advance(1_000);
  expect(followed()).toEqual(FIRST);
  choice.failed(FIRST, 'unreachable');
  clock.advance(1_000);
  expect(followed()).toEqual(SECOND);
  clock.advance(1_000);
  expect(followed()).toEqual(FIRST);
});

test('a host that the store refuses asks others, those nearby first', () => {
  expect(choice.substitute()).toEqual(FIRST);
  [FIRST, SECOND, LATER].forEach(peer => choice.failed(peer, 'stale'));
  expect(choice.substitute()).toEqual(FAR);
});

function crowd(count: number): readonly Peer[] {
  return Array.from({length: count}, (_, index) => ({
    address: `p${index}`,
    dataCentre: 'east',
    rank: index - count,
  }));
}

test('only the first few that can be reached are asked for news', () => {
  // The store is away. Thirty hosts of a data centre that ask each other each
  // second would open 900 connections a second.
  const before = crowd(30);
  choice.setPeers([...before, SELF]);
  choice.failed(before[0] as Peer, 'unreachable');
  for (const peer of before.slice(1, 4)) {
    expect(followed()).toEqual(peer);
    choice.failed(peer, 'stale');
  }
  expect(followed()).toBeUndefined();
});

test('a host behind many that have no news reads the store late', () => {
  // The store is down for all. Ten hosts of the data centre found that out;
  // a hundred calls more tell nothing new, and each is paid for.
  const before = crowd(30);
  choice.setPeers([...before, SELF]);
  before.slice(0, 11).forEach(peer => choice.failed(peer, 'stale'));
  expect(choice.preferred()).toEqual({kind: 'store', delayMs: 3_000});
  expect(choice.isBehind).toBe(true);
});

test('a peer without news is asked again within a second, however often', () => {
  // When the store is back, the hosts that follow must hear of it soon.
  for (let i = 0; i < 6; i += 1) {
    choice.failed(FIRST, 'stale');
    clock.advance(1_000);
    expect(followed()).toEqual(FIRST);
  }
});

test('the first hosts of a data centre ask an absent store often, others seldom', () => {
  const half = (): number => 0.5;
  expect(pauseAfter(5, half, false)).toBe(1_200);
  expect(pauseAfter(5, half, true)).toBe(4_000);
});

test('only the first of a data centre asks elsewhere', () => {
  // Bytes between data centres are paid for. While the store is away, each of
  // a hundred hosts would ask all hosts of the other data centres.
  choice.failed(FIRST, 'stale');
  choice.failed(SECOND, 'stale');
  expect(followed()).toBeUndefined();
});
