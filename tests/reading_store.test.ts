import {expect, test} from 'vitest';
import {
  TopicWatermarks,
  PollTiming,
  propagationBudget,
  watermarkOf,
} from '../src/decisions/fleet/index.js';

test('all is known up to the oldest answer, once each topic has one', () => {
  const watermarks = new TopicWatermarks(['upstreams', 'configuration']);
  watermarks.set('upstreams', 700);
  expect(watermarks.lowest).toBeUndefined();
  watermarks.set('configuration', 500);
  expect(watermarks.lowest).toBe(500);
});

// A reader that vouches for a configuration by its reads of upstreams.
test('nothing is proved while reads of one topic fail', () => {
  const watermarks = new TopicWatermarks(['upstreams', 'configuration']);
  watermarks.set('configuration', 500);
  watermarks.set('upstreams', 700);
  watermarks.invalidate('configuration');
  watermarks.set('upstreams', 900);
  expect(watermarks.lowest).toBeUndefined();
  watermarks.set('configuration', 1_000);
  expect(watermarks.lowest).toBe(900);
});

test.each([
  ['that brings a change early', 500, 1_200, 1_200],
  ['at the end of its wait', 500, 1_500, 1_500],
  ['that took long on its way', 500, 1_900, 1_500],
  ['that did not wait', 0, 1_300, 1_000],
])('an answer %s proves no more than it can know', (_, wait, at, proved) => {
  expect(watermarkOf(1_000, wait, at)).toBe(proved);
});

test('reads of a store that answers slowly wait less, and as before after', () => {
  const budget = propagationBudget(2_000);
  const timing = new PollTiming(budget);
  expect(timing.waitMs).toBe(budget.longPollMs);
  expect(timing.pauseMs).toBe(budget.batchPauseMs);
  timing.note(500, 900);
  const oldestMs = 2 * 400 + timing.pauseMs + timing.waitMs;
  expect(oldestMs).toBeLessThan(budget.staleAfterMs);
  for (let read = 0; read < 5; read += 1) {
    timing.note(timing.waitMs, timing.waitMs + 4);
  }
  expect(timing.waitMs).toBe(budget.longPollMs);
});
