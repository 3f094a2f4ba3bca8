import {expect, test} from 'vitest';
import type {TopicAnswer} from '../src/decisions/fleet/index.js';
import {
  TopicWatermarks,
  ReadPace,
  ReloadPace,
  needsSnapshot,
  pageProgress,
  propagationBudget,
  watermarkOf,
} from '../src/decisions/fleet/index.js';
import type {Milliseconds} from '../src/time/index.js';

/** An answer that vouches for everything up to a time. */
function answerUpTo(at: Milliseconds): TopicAnswer {
  return {askedAt: at, waitMs: 0, answeredAt: at, hasChanges: false};
}

test('the lowest watermark of all topics counts, once each has one', () => {
  const watermarks = new TopicWatermarks(['upstreams', 'configuration']);
  watermarks.note('upstreams', answerUpTo(700));
  expect(watermarks.lowest).toBeUndefined();
  watermarks.note('configuration', answerUpTo(500));
  expect(watermarks.lowest).toBe(500);
});

// Guards against a reader that reports its configuration as fresh because its
// reads of upstreams succeed.
test('there is no watermark while reads of one topic fail', () => {
  const watermarks = new TopicWatermarks(['upstreams', 'configuration']);
  watermarks.note('configuration', answerUpTo(500));
  watermarks.note('upstreams', answerUpTo(700));
  watermarks.invalidate('configuration');
  watermarks.note('upstreams', answerUpTo(900));
  expect(watermarks.lowest).toBeUndefined();
  watermarks.note('configuration', answerUpTo(1_000));
  expect(watermarks.lowest).toBe(900);
});

// Guards against an answer that was long on its way and counts as of its arrival.
test.each([
  ['with a change, whenever it was sent', 500, 1_200, true, 1_000],
  ['with a change at the end of its wait', 500, 1_500, true, 1_000],
  ['without a change at the end of its wait', 500, 1_500, false, 1_500],
  ['without a change, with a long transit time', 500, 1_900, false, 1_500],
  ['without a wait', 0, 1_300, false, 1_000],
])(
  'an answer %s covers changes up to its watermark',
  (_, waitMs, answeredAt, hasChanges, watermark) => {
    const answer = {askedAt: 1_000, waitMs, answeredAt, hasChanges};
    expect(watermarkOf(answer)).toBe(watermark);
    const watermarks = new TopicWatermarks(['upstreams']);
    watermarks.note('upstreams', answer);
    expect(watermarks.unprovenMs('upstreams')).toBe(answeredAt - watermark);
  },
);

test('reads wait less while the store is slow', () => {
  const budget = propagationBudget(2_000);
  const pace = new ReadPace(budget);
  expect(pace.waitMs).toBe(budget.readWaitMs);
  expect(pace.pauseMs).toBe(budget.batchPauseMs);
  pace.note(500, 900);
  const oldestMs = 2 * 400 + pace.pauseMs + pace.waitMs;
  expect(oldestMs).toBeLessThan(budget.staleAfterMs);
  for (let read = 0; read < 5; read += 1) {
    pace.note(pace.waitMs, pace.waitMs + 4);
  }
  expect(pace.waitMs).toBe(budget.readWaitMs);
});

// Guards against a page without the next record that counts as a read of everything.
test.each([
  ['with all records', 4, 7, 7, 'caught-up', false],
  ['without records at the end', 7, 7, 7, 'caught-up', false],
  ['with some records', 4, 6, 7, 'behind', false],
  ['without the next record', 4, 4, 7, 'stuck', true],
  ['without an end', 4, 4, undefined, 'stuck', true],
  ['of a log that ends before it', 9, 9, 7, 'past-end', true],
])('a page %s', (_, from, next, end, progress, reload) => {
  expect(pageProgress(from, next, end)).toBe(progress);
  expect(needsSnapshot(pageProgress(from, next, end))).toBe(reload);
});

// Guards against a tight loop on a store whose log can't be read after any snapshot.
test('snapshots of one topic are apart until its log is read to the end', () => {
  const pace = new ReloadPace(250);
  expect(pace.noteReload()).toBe(0);
  pace.noteCaughtUp(true);
  expect(pace.noteReload()).toBe(250);
  pace.noteCaughtUp(true);
  expect(pace.noteReload()).toBe(250);
  pace.noteCaughtUp(false);
  expect(pace.noteReload()).toBe(0);
});
