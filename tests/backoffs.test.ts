import {beforeEach, expect, test} from 'vitest';
import {Backoffs} from '../src/decisions/backoff/index.js';
import {readRetryAfter} from '../src/platform/index.js';
import {ManualClock} from '../src/time/index.js';

let clock: ManualClock;
let backoffs: Backoffs;

beforeEach(() => {
  clock = new ManualClock(10_000);
  backoffs = new Backoffs(clock);
});

test('no request may be sent to an upstream until its backoff ends', () => {
  expect(backoffs.note('u', 3_000)).toBe(true);
  clock.advance(2_999);
  expect(backoffs.allows('u')).toBe(false);
  expect(backoffs.waitMs('u')).toBe(1);
  expect(backoffs.blocking(['u', 'v'])).toEqual([{upstream: 'u', leftMs: 1}]);
  clock.advance(1);
  expect(backoffs.allows('u')).toBe(true);
  expect(backoffs.allows('v')).toBe(true);
});

// Guards against a later, shorter Retry-After that ends a backoff early.
test('of overlapping backoffs the one that ends last applies', () => {
  backoffs.note('u', 3_000);
  clock.advance(100);
  expect(backoffs.note('u', 500)).toBe(false);
  clock.advance(1_000);
  expect(backoffs.allows('u')).toBe(false);
  expect(backoffs.count).toBe(1);
});

// Guards against a burst of requests at the end of a backoff.
test('after a backoff, others follow a trial request unless it is refused', () => {
  backoffs.note('u', 1_000);
  clock.advance(1_000);
  expect(backoffs.needsTrial('u')).toBe(true);
  backoffs.noteSend('u');
  expect(backoffs.allows('u')).toBe(false);
  clock.advance(250);
  expect(backoffs.allows('u')).toBe(true);
  expect(backoffs.needsTrial('u')).toBe(false);
  backoffs.note('u', 1_000);
  expect(backoffs.allows('u')).toBe(false);
});

// Guards against an excessive Retry-After that excludes an upstream indefinitely.
test('no backoff lasts longer than ten minutes', () => {
  backoffs.note('u', 1e15);
  clock.advance(600_000);
  expect(backoffs.allows('u')).toBe(true);
});

test('prune drops ended backoffs and those of removed upstreams', () => {
  backoffs.note('u', 1_000);
  backoffs.note('gone', 600_000);
  clock.advance(1_000);
  backoffs.noteSend('u');
  clock.advance(300);
  backoffs.prune(upstream => upstream !== 'gone');
  expect(backoffs.allows('gone')).toBe(true);
  expect(backoffs.needsTrial('u')).toBe(false);
});

test.each([
  ['3', 3_000],
  ['0.5', 500],
  ['0', 0],
])('a Retry-After of %s is read', (text, forMs) => {
  const header = readRetryAfter(503, {'retry-after': text});
  expect(header).toEqual({kind: 'valid', forMs});
});

test.each(['', '-1', 'NaN', '1e12', '3, 4', 'Thu, 03 Dec 2026 10:00:00 GMT'])(
  'a Retry-After of "%s" is malformed',
  text => {
    expect(readRetryAfter(503, {'retry-after': text}).kind).toBe('malformed');
  },
);

test('Retry-After is only read from refusals', () => {
  expect(readRetryAfter(200, {'retry-after': '3'}).kind).toBe('absent');
  expect(readRetryAfter(503, {}).kind).toBe('absent');
  expect(readRetryAfter(429, {'retry-after': '3'}).kind).toBe('valid');
});
