import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {AttemptEnd} from '../src/decisions/attempts/index.js';
import {RequestAttempts} from '../src/decisions/attempts/index.js';
import {storeRetryDelay} from '../src/decisions/fleet/index.js';
import {planShutdown} from '../src/decisions/stopping/index.js';
import {chooseRetryAfter} from '../src/decisions/scheduling/index.js';
import {seededRandom} from '../src/time/index.js';

const RETRY_POSSIBLE = {
  leftMs: 1_000,
  bodyHeld: true,
  spendRepeat: (): boolean => true,
};
const NON_IDEMPOTENT = {repeatable: false, attempts: 3};
const IDEMPOTENT = {repeatable: true, attempts: 3};

function withAttempt(record: RequestAttempts, id = 'a'): RequestAttempts {
  record.noteSend(id);
  return record;
}

test('an order whose answer is lost is neither repeated nor called not run', () => {
  const record = withAttempt(new RequestAttempts(NON_IDEMPOTENT));
  expect(record.handleEnd('broken', RETRY_POSSIBLE)).toEqual({
    kind: 'refuse',
    reason: 'attempt-broken',
  });
  expect(record.outcome).toBe('unknown');
});

test('an order that was shed is repeated, and its refusal is true', () => {
  const record = withAttempt(new RequestAttempts(NON_IDEMPOTENT));
  expect(record.handleEnd('not-run', RETRY_POSSIBLE).kind).toBe('repeat');
  expect(record.outcome).toBe('not-run');
});

test('a lookup that broke and was then shed is not called not run', () => {
  const record = withAttempt(new RequestAttempts(IDEMPOTENT));
  record.handleEnd('broken', RETRY_POSSIBLE);
  withAttempt(record, 'b').handleEnd('not-run', RETRY_POSSIBLE);
  expect(record.outcome).toBe('unknown');
});

test('an order with an error of its upstream is delivered as it is', () => {
  const record = withAttempt(new RequestAttempts(NON_IDEMPOTENT));
  expect(record.handleEnd('failed', RETRY_POSSIBLE).kind).toBe('deliver');
});

test.each([
  ['no time is left', {...RETRY_POSSIBLE, leftMs: 1}],
  ['the body is gone', {...RETRY_POSSIBLE, bodyHeld: false}],
  [
    'the budget is spent',
    {...RETRY_POSSIBLE, spendRepeat: (): boolean => false},
  ],
])('nothing is repeated when %s', (_why, situation) => {
  const record = withAttempt(new RequestAttempts(IDEMPOTENT));
  expect(record.handleEnd('not-run', situation).kind).toBe('refuse');
});

test('a request goes to no more upstreams than its route allows', () => {
  const record = new RequestAttempts(IDEMPOTENT);
  const steps = ['a', 'b', 'c'].map(id =>
    withAttempt(record, id).handleEnd('broken', RETRY_POSSIBLE),
  );
  expect(steps.map(({kind}) => kind)).toEqual(['repeat', 'repeat', 'refuse']);
});

test('no order is sent again after it may have run, whatever happens', () => {
  // Upstreams shed, break off and fail in any order. If an order is sent once
  // more after a send that may have run, it is recorded twice.
  const ends = fc.array(
    fc.constantFrom<AttemptEnd>('answered', 'failed', 'not-run', 'broken'),
    {minLength: 1, maxLength: 6},
  );
  fc.assert(
    fc.property(ends, sequence => {
      const record = new RequestAttempts({repeatable: false, attempts: 6});
      let mayHaveRun = 0;
      for (const [index, end] of sequence.entries()) {
        withAttempt(record, `u${index}`);
        mayHaveRun += end === 'not-run' ? 0 : 1;
        if (record.handleEnd(end, RETRY_POSSIBLE).kind !== 'repeat') {
          break;
        }
      }
      const told = record.outcome === 'not-run';
      return mayHaveRun <= 1 && told === (mayHaveRun === 0);
    }),
    {seed: 11, numRuns: 300},
  );
});

test('a stop serves until the host is out of rotation and ends in time', () => {
  const plan = planShutdown(6_000);
  expect(plan.acceptingMs).toBeGreaterThan(2_000);
  expect(plan.abortInFlightAfterMs).toBeLessThan(6_000);
  expect(planShutdown(1_000).acceptingMs).toBeLessThan(
    planShutdown(1_000).abortInFlightAfterMs + 400,
  );
});

test('callers are told to come back within the time that they honour', () => {
  const random = seededRandom(3);
  const times = Array.from({length: 50}, () =>
    chooseRetryAfter(900, 5_000, random),
  );
  expect(Math.max(...times)).toBeLessThanOrEqual(300);
  const spread = Array.from({length: 50}, () =>
    chooseRetryAfter(9_000, 400, random),
  );
  expect(new Set(spread).size).toBeGreaterThan(40);
});

test('pauses between failed reads grow to a bound and are spread', () => {
  const random = seededRandom(3);
  expect(storeRetryDelay(1, random)).toBeLessThan(400);
  expect(storeRetryDelay(20, random)).toBeLessThanOrEqual(1_800);
  expect(storeRetryDelay(20, random)).not.toBe(storeRetryDelay(20, random));
});
