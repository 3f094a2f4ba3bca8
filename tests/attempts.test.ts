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
  isBodyBuffered: true,
  trySpendRetry: (): boolean => true,
};
const NON_IDEMPOTENT = {repeatable: false, attempts: 3};
const IDEMPOTENT = {repeatable: true, attempts: 3};

function withAttempt(record: RequestAttempts, id = 'a'): RequestAttempts {
  record.noteSend(id);
  return record;
}

test('a non-idempotent request whose response is lost is neither retried nor reported as not run', () => {
  const record = withAttempt(new RequestAttempts(NON_IDEMPOTENT));
  expect(record.handleEnd('broken', RETRY_POSSIBLE)).toEqual({
    kind: 'refuse',
    reason: 'attempt-broken',
  });
  expect(record.outcome).toBe('unknown');
});

test('a non-idempotent request that was shed is retried, and reported as not run if refused', () => {
  const record = withAttempt(new RequestAttempts(NON_IDEMPOTENT));
  expect(record.handleEnd('not-run', RETRY_POSSIBLE).kind).toBe('repeat');
  expect(record.outcome).toBe('not-run');
});

test('an idempotent request that broke and was then shed is not reported as not run', () => {
  const record = withAttempt(new RequestAttempts(IDEMPOTENT));
  record.handleEnd('broken', RETRY_POSSIBLE);
  withAttempt(record, 'b').handleEnd('not-run', RETRY_POSSIBLE);
  expect(record.outcome).toBe('unknown');
});

test('a server error for a non-idempotent request is delivered without a retry', () => {
  const record = withAttempt(new RequestAttempts(NON_IDEMPOTENT));
  expect(record.handleEnd('failed', RETRY_POSSIBLE).kind).toBe('deliver');
});

test.each([
  ['no time is left', {...RETRY_POSSIBLE, leftMs: 1}],
  ['the body is no longer held', {...RETRY_POSSIBLE, isBodyBuffered: false}],
  [
    'the retry budget is used up',
    {...RETRY_POSSIBLE, trySpendRetry: (): boolean => false},
  ],
])('a request is not retried when %s', (_why, situation) => {
  const record = withAttempt(new RequestAttempts(IDEMPOTENT));
  expect(record.handleEnd('not-run', situation).kind).toBe('refuse');
});

test('a request is sent to no more upstreams than its route allows', () => {
  const record = new RequestAttempts(IDEMPOTENT);
  const steps = ['a', 'b', 'c'].map(id =>
    withAttempt(record, id).handleEnd('broken', RETRY_POSSIBLE),
  );
  expect(steps.map(({kind}) => kind)).toEqual(['repeat', 'repeat', 'refuse']);
});

test('no non-idempotent request is retried after it may have run, whatever happens', () => {
  // Upstreams shed, disconnect and fail in any order. A non-idempotent request that is
  // retried after an attempt that may have run takes effect twice.
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
      const isReportedNotRun = record.outcome === 'not-run';
      return mayHaveRun <= 1 && isReportedNotRun === (mayHaveRun === 0);
    }),
    {seed: 11, numRuns: 300},
  );
});

test('a shutdown accepts requests until the host is out of rotation and ends in time', () => {
  const plan = planShutdown(6_000);
  expect(plan.acceptingMs).toBeGreaterThan(2_000);
  expect(plan.respondAfterMs).toBeLessThan(plan.closeAfterMs);
  expect(plan.closeAfterMs).toBeLessThan(6_000);
  expect(planShutdown(1_000).acceptingMs).toBeLessThan(
    planShutdown(1_000).respondAfterMs + 400,
  );
});

// Guards against requests that a stop cuts off in a tunnel that was opened late.
test.each([1_000, 2_000, 6_000, 30_000])(
  'tunnels opened in a shutdown of %i ms have half of the time left',
  graceMs => {
    const plan = planShutdown(graceMs);
    const {closeAfterMs, acceptingMs, openingTunnelsMs} = plan;
    const leftMs = closeAfterMs - openingTunnelsMs;
    expect(leftMs).toBeGreaterThanOrEqual(closeAfterMs / 2);
    expect(openingTunnelsMs).toBeLessThanOrEqual(acceptingMs);
  },
);

test('callers get a Retry-After that they honour', () => {
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

test('delays after failed reads grow to a bound and have jitter', () => {
  const random = seededRandom(3);
  expect(storeRetryDelay(1, random)).toBeLessThan(400);
  expect(storeRetryDelay(20, random)).toBeLessThanOrEqual(1_800);
  expect(storeRetryDelay(20, random)).not.toBe(storeRetryDelay(20, random));
});
