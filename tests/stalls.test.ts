import {beforeEach, expect, test} from 'vitest';
import {
  RunTimeDistribution,
  StallDetector,
} from '../src/decisions/stalls/index.js';
import {seededRandom} from '../src/time/index.js';

const ATTEMPT = {service: 's', route: 'lookup', expectedMs: 100};

let detector: StallDetector;

beforeEach(() => {
  detector = new StallDetector();
});

/** Runs between 0.7 and 1.6 times what was expected, one in 30 four times. */
function answerRuns(count: number): void {
  const random = seededRandom(7);
  for (let i = 0; i < count; i += 1) {
    const ratio = random() < 1 / 30 ? 4 : 0.7 + 0.9 * random();
    detector.answered(ATTEMPT, 100 * ratio);
  }
}

/** Sends that were answered, but for a share that was never. */
function loseEveryNth(nth: number, count: number): void {
  const random = seededRandom(9);
  for (let i = 0; i < count; i += 1) {
    if (i % nth === 0) {
      detector.unanswered(ATTEMPT, 1_000);
    } else {
      detector.answered(ATTEMPT, 100 * (0.7 + 0.9 * random()));
    }
  }
}

test('while nothing is lost only the longest runs are doubted', () => {
  answerRuns(2_000);
  expect(detector.stallTimeoutMs(ATTEMPT)).toBeGreaterThan(380);
});

test('after a start nothing is doubted early', () => {
  expect(detector.stallTimeoutMs(ATTEMPT)).toBeGreaterThan(500);
});

test('when one send in five is lost, a run a little long is doubted', () => {
  // An upstream runs lookups and loses one answer in five. A caller with a
  // target of 300 ms is served in time only if the second send is made while
  // two thirds of that are left.
  answerRuns(1_000);
  loseEveryNth(5, 400);
  expect(detector.stallTimeoutMs(ATTEMPT)).toBeLessThan(200);
  expect(detector.stallTimeoutMs(ATTEMPT)).toBeGreaterThan(120);
});

test('once answers come again, patience returns', () => {
  answerRuns(1_000);
  loseEveryNth(5, 400);
  answerRuns(400);
  expect(detector.stallTimeoutMs(ATTEMPT)).toBeGreaterThan(380);
});

test('slow runs that are broken off do not look lost earlier and earlier', () => {
  // Each send in doubt is repeated and the slower one is broken off, so that
  // its end is never seen. Counted as lost, slow runs would shorten patience,
  // more of them would be broken off, and in the end all would.
  const random = seededRandom(5);
  for (let i = 0; i < 5_000; i += 1) {
    const ms = 100 * (random() < 0.05 ? 4 : 0.7 + 0.9 * random());
    const patience = detector.stallTimeoutMs(ATTEMPT);
    if (ms > patience + 100) {
      detector.unanswered(ATTEMPT, patience + 100);
    } else {
      detector.answered(ATTEMPT, ms);
    }
  }
  expect(detector.stallTimeoutMs(ATTEMPT)).toBeGreaterThan(300);
});

test('a caller that leaves early says nothing of its upstream', () => {
  answerRuns(1_000);
  const before = detector.stallTimeoutMs(ATTEMPT);
  for (let i = 0; i < 200; i += 1) {
    detector.unanswered(ATTEMPT, 120);
  }
  expect(detector.stallTimeoutMs(ATTEMPT)).toBe(before);
});

test('patience follows what is expected of the upstream', () => {
  answerRuns(1_000);
  const slow = detector.stallTimeoutMs({...ATTEMPT, expectedMs: 400});
  expect(slow).toBeCloseTo(4 * detector.stallTimeoutMs(ATTEMPT));
});

test('shares beyond a ratio are counted', () => {
  const spread = new RunTimeDistribution();
  for (let i = 0; i < 5_000; i += 1) {
    spread.observe(i % 10 === 0 ? 3 : 1);
  }
  expect(spread.shareAbove(2)).toBeCloseTo(0.1, 1);
  expect(spread.ratioExceededBy(0.2)).toBeLessThan(1.2);
  expect(spread.ratioExceededBy(0.05)).toBeGreaterThan(2.7);
});
