import {beforeEach, expect, test} from 'vitest';
import type {Peer} from '../src/decisions/relay/index.js';
import {SourceChoice} from '../src/decisions/relay/index.js';
import {ManualClock} from '../src/time/index.js';

const FIRST: Peer = {address: 'a', dataCentre: 'east', rank: 1};
const SECOND: Peer = {address: 'b', dataCentre: 'east', rank: 2};
const SELF: Peer = {address: 'c', dataCentre: 'east', rank: 3};
const LATER: Peer = {address: 'd', dataCentre: 'east', rank: 4};
const FAR: Peer = {address: 'e', dataCentre: 'west', rank: 0};

let clock: ManualClock;
let choice: SourceChoice;

beforeEach(() => {
  clock = new ManualClock();
  choice = new SourceChoice('east', clock);
  choice.identify('c');
  choice.setPeers([LATER, SELF, SECOND, FIRST, FAR]);
});

test('the host that registered first is followed', () => {
  expect(choice.preferred()).toEqual({kind: 'peer', peer: FIRST});
});

test('the next is followed when the first breaks off', () => {
  choice.failed(FIRST, 'unreachable');
  expect(choice.preferred()).toEqual({kind: 'peer', peer: SECOND});
});

test('a host without anybody before it reads the store', () => {
  choice.failed(FIRST, 'unreachable');
  choice.failed(SECOND, 'unreachable');
  expect(choice.preferred()).toEqual({kind: 'store', delayMs: 0});
});

test('hosts that lost their reader together read one after the other', () => {
  // The reader dies and nobody has fresh news. If all read at once, a hundred
  // hosts would ask the store in the same moment.
  choice.failed(FIRST, 'stale');
  choice.failed(SECOND, 'stale');
  expect(choice.preferred()).toEqual({kind: 'store', delayMs: 80});
});

test('a peer that failed is tried again, later each time', () => {
  choice.failed(FIRST, 'unreachable');
  clock.advance(1_000);
  expect(choice.preferred()).toEqual({kind: 'peer', peer: FIRST});
  choice.failed(FIRST, 'unreachable');
  clock.advance(1_000);
  expect(choice.preferred()).toEqual({kind: 'peer', peer: SECOND});
  clock.advance(1_000);
  expect(choice.preferred()).toEqual({kind: 'peer', peer: FIRST});
});

test('a host that the store refuses asks others, those nearby first', () => {
  expect(choice.substitute()).toEqual(FIRST);
  [FIRST, SECOND, LATER].forEach(peer => choice.failed(peer, 'stale'));
  expect(choice.substitute()).toEqual(FAR);
});
