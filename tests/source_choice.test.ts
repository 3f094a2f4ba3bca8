import {beforeEach, expect, test} from 'vitest';
import type {Peer} from '../src/decisions/relay/index.js';
import {SourceChoice} from '../src/decisions/relay/index.js';
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
