import {beforeEach, expect, test} from 'vitest';
import {RunTimeSpread, StallPolicy} from '../src/decisions/stalls/index.js';
import {seededRandom} from '../src/time/index.js';

const SEND = {service: 's', route: 'lookup', expectedMs: 100};

let policy: StallPolicy;

beforeEach(() => {
  policy = new StallPolicy();
});

/** Runs between 0.7 and 1.6 times what was expected, one in 30 four times. */
function run(count: number): void {
  const random = seededRandom(7);
  for (let i = 0; i < count; i += 1) {
    const ratio = random() < 1 / 30 ? 4 : 0.7 + 0.9 * random();
    policy.answered(SEND, 100 * ratio);
  }
}

/** Sends that were answered, but for a share that was never. */
function loseEach(nth: number, count: number): void {
  const random = seededRandom(9);
  for (let i = 0; i < count; i += 1) {
    if (i % nth === 0) {
      policy.brokenOff(SEND, 1_000);
    } else {
      policy.answered(SEND, 100 * (0.7 + 0.9 * random()));
    }
  }
}

test('while nothing is lost only the longest runs are doubted', () => {
  run(2_000);
  expect(policy.patienceMs(SEND)).toBeGreaterThan(380);
});

test('after a start nothing is doubted early', () => {
  expect(policy.patienceMs(SEND)).toBeGreaterThan(500);
});

test('when one send in five is lost, a run a little long is doubted', () => {
  // An upstream runs lookups and loses one answer in five. A caller with a
  // target of 300 ms is served in time only if the second send is made while
  // two thirds of that are left.
  run(1_000);
  loseEach(5, 400);
  expect(policy.patienceMs(SEND)).toBeLessThan(200);
  expect(policy.patienceMs(SEND)).toBeGreaterThan(120);
});

test('once answers come again, patience returns', () => {
  run(1_000);
  loseEach(5, 400);
  run(400);
  expect(policy.patienceMs(SEND)).toBeGreaterThan(380);
});

test('slow runs that are broken off do not look lost earlier and earlier', () => {
  // Each send in doubt is repeated and the slower one is broken off, so that
  // its end is never seen. Counted as lost, slow runs would shorten patience,
  // more of them would be broken off, and in the end all would.
  const random = seededRandom(5);
  for (let i = 0; i < 5_000; i += 1) {
    const ms = 100 * (random() < 0.05 ? 4 : 0.7 + 0.9 * random());
    const patience = policy.patienceMs(SEND);
    if (ms > patience + 100) {
      policy.brokenOff(SEND, patience + 100);
    } else {
      policy.answered(SEND, ms);
    }
  }
  expect(policy.patienceMs(SEND)).toBeGreaterThan(300);
});

test('a caller that leaves early says nothing of its upstream', () => {
  run(1_000);
  const before = policy.patienceMs(SEND);
  for (let i = 0; i < 200; i += 1) {
    policy.brokenOff(SEND, 120);
  }
  expect(policy.patienceMs(SEND)).toBe(before);
});

test('patience follows what is expected of the upstream', () => {
  run(1_000);
  const slow = policy.patienceMs({...SEND, expectedMs: 400});
  expect(slow).toBeCloseTo(4 * policy.patienceMs(SEND));
});

test('shares beyond a ratio are counted', () => {
  const spread = new RunTimeSpread();
  for (let i = 0; i < 5_000; i += 1) {
    spread.observe(i % 10 === 0 ? 3 : 1);
  }
  expect(spread.shareBeyond(2)).toBeCloseTo(0.1, 1);
  expect(spread.ratioExceededBy(0.2)).toBeLessThan(1.2);
  expect(spread.ratioExceededBy(0.05)).toBeGreaterThan(2.7);
});
