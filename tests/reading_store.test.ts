import {expect, test} from 'vitest';
import {
  TopicWatermarks,
  ReadPace,
  propagationBudget,
  watermarkOf,
} from '../src/decisions/fleet/index.js';

test('all is known up to the oldest answer, once each topic has one', () => {
  const proofs = new TopicWatermarks(['upstreams', 'configuration']);
  proofs.set('upstreams', 700);
  expect(proofs.oldest).toBeUndefined();
  proofs.set('configuration', 500);
  expect(proofs.oldest).toBe(500);
});

// A reader that vouches for a configuration by its reads of upstreams.
test('nothing is proved while reads of one topic fail', () => {
  const proofs = new TopicWatermarks(['upstreams', 'configuration']);
  proofs.set('configuration', 500);
  proofs.set('upstreams', 700);
  proofs.invalidate('configuration');
  proofs.set('upstreams', 900);
  expect(proofs.oldest).toBeUndefined();
  proofs.set('configuration', 1_000);
  expect(proofs.oldest).toBe(900);
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
