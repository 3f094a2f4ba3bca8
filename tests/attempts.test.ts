import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {AttemptEnd} from '../src/decisions/attempts/index.js';
import {AttemptRecord} from '../src/decisions/attempts/index.js';
import {storeRetryDelay} from '../src/decisions/fleet/index.js';
import {planStop} from '../src/decisions/stopping/index.js';
import {chooseRetryAfter} from '../src/decisions/scheduling/index.js';
import {seededRandom} from '../src/time/index.js';

const ROOM = {leftMs: 1_000, bodyHeld: true, spendRepeat: (): boolean => true};
const ORDER = {repeatable: false, attempts: 3};
const LOOKUP = {repeatable: true, attempts: 3};

function sent(record: AttemptRecord, id = 'a'): AttemptRecord {
  record.noteSend(id);
  return record;
}

test('an order whose answer is lost is neither repeated nor called not run', () => {
  const record = sent(new AttemptRecord(ORDER));
  expect(record.noteEnd('broken', ROOM)).toEqual({
    kind: 'refuse',
    reason: 'attempt-broken',
  });
  expect(record.outcome).toBe('unknown');
});

test('an order that was shed is repeated, and its refusal is true', () => {
  const record = sent(new AttemptRecord(ORDER));
  expect(record.noteEnd('not-run', ROOM).kind).toBe('repeat');
  expect(record.outcome).toBe('not-run');
});

test('a lookup that broke and was then shed is not called not run', () => {
  const record = sent(new AttemptRecord(LOOKUP));
  record.noteEnd('broken', ROOM);
  sent(record, 'b').noteEnd('not-run', ROOM);
  expect(record.outcome).toBe('unknown');
});

test('an order with an error of its upstream is delivered as it is', () => {
  const record = sent(new AttemptRecord(ORDER));
  expect(record.noteEnd('failed', ROOM).kind).toBe('deliver');
});

test.each([
  ['no time is left', {...ROOM, leftMs: 1}],
  ['the body is gone', {...ROOM, bodyHeld: false}],
  ['the budget is spent', {...ROOM, spendRepeat: (): boolean => false}],
])('nothing is repeated when %s', (_why, situation) => {
  const record = sent(new AttemptRecord(LOOKUP));
  expect(record.noteEnd('not-run', situation).kind).toBe('refuse');
});

test('a request goes to no more upstreams than its route allows', () => {
  const record = new AttemptRecord(LOOKUP);
  const steps = ['a', 'b', 'c'].map(id =>
    sent(record, id).noteEnd('broken', ROOM),
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
      const record = new AttemptRecord({repeatable: false, attempts: 6});
      let mayHaveRun = 0;
      for (const [index, end] of sequence.entries()) {
        sent(record, `u${index}`);
        mayHaveRun += end === 'not-run' ? 0 : 1;
        if (record.noteEnd(end, ROOM).kind !== 'repeat') {
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
  const plan = planStop(6_000);
  expect(plan.servingMs).toBeGreaterThan(2_000);
  expect(plan.lastAnswerMs).toBeLessThan(6_000);
  expect(planStop(1_000).servingMs).toBeLessThan(
    planStop(1_000).lastAnswerMs + 400,
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
