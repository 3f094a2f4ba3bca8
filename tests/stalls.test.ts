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

/** Run times from 0.7 to 1.6 times the expected one, one in 30 four times. */
function answerRuns(count: number): void {
  const random = seededRandom(7);
  for (let i = 0; i < count; i += 1) {
    const ratio = random() < 1 / 30 ? 4 : 0.7 + 0.9 * random();
    detector.answered(ATTEMPT, 100 * ratio);
  }
}

/** Attempts that are answered, except for every nth one, which is lost. */
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

test('without losses only the longest runs exceed the stall timeout', () => {
  answerRuns(2_000);
  expect(detector.stallTimeoutMs(ATTEMPT)).toBeGreaterThan(380);
});

test('after a start the stall timeout is long', () => {
  expect(detector.stallTimeoutMs(ATTEMPT)).toBeGreaterThan(500);
});

test('when one attempt in five is lost, the stall timeout is little above usual runs', () => {
  // An upstream runs idempotent requests and loses one response in five. A caller with
  // a target of 300 ms is answered in time only if the hedged request is sent while two
  // thirds of that are left.
  answerRuns(1_000);
  loseEveryNth(5, 400);
  expect(detector.stallTimeoutMs(ATTEMPT)).toBeLessThan(200);
  expect(detector.stallTimeoutMs(ATTEMPT)).toBeGreaterThan(120);
});

test('the stall timeout grows again once no attempt is lost', () => {
  answerRuns(1_000);
  loseEveryNth(5, 400);
  answerRuns(400);
  expect(detector.stallTimeoutMs(ATTEMPT)).toBeGreaterThan(380);
});

test('cancelled slow runs do not shorten the stall timeout more and more', () => {
  // Each stalled attempt is hedged and the slower one is cancelled, so that its run
  // time is never known. Counted as lost, slow runs would shorten the timeout, more of
  // them would be cancelled, and in the end all would.
  const random = seededRandom(5);
  for (let i = 0; i < 5_000; i += 1) {
    const ms = 100 * (random() < 0.05 ? 4 : 0.7 + 0.9 * random());
    const timeoutMs = detector.stallTimeoutMs(ATTEMPT);
    if (ms > timeoutMs + 100) {
      detector.unanswered(ATTEMPT, timeoutMs + 100);
    } else {
      detector.answered(ATTEMPT, ms);
    }
  }
  expect(detector.stallTimeoutMs(ATTEMPT)).toBeGreaterThan(300);
});

test('a caller that leaves early does not change the stall timeout', () => {
  answerRuns(1_000);
  const before = detector.stallTimeoutMs(ATTEMPT);
  for (let i = 0; i < 200; i += 1) {
    detector.unanswered(ATTEMPT, 120);
  }
  expect(detector.stallTimeoutMs(ATTEMPT)).toBe(before);
});

test('the stall timeout is proportional to the expected run time', () => {
  answerRuns(1_000);
  const slow = detector.stallTimeoutMs({...ATTEMPT, expectedMs: 400});
  expect(slow).toBeCloseTo(4 * detector.stallTimeoutMs(ATTEMPT));
});

test('the distribution estimates the share of runs above a ratio', () => {
  const distribution = new RunTimeDistribution();
  for (let i = 0; i < 5_000; i += 1) {
    distribution.observe(i % 10 === 0 ? 3 : 1);
  }
  expect(distribution.shareAbove(2)).toBeCloseTo(0.1, 1);
  expect(distribution.ratioExceededBy(0.2)).toBeLessThan(1.2);
  expect(distribution.ratioExceededBy(0.05)).toBeGreaterThan(2.7);
});
