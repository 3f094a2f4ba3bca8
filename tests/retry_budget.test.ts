import {expect, test} from 'vitest';
import type {RetryScenario} from './support/retry_simulation.js';
import {simulateRetries} from './support/retry_simulation.js';

const CALM: RetryScenario = {
  seed: 1,
  hosts: 16,
  requestsPerSecond: 340,
  durationMs: 32_000,
  limits: {windowMs: 10_000, ratio: 0.2, slack: 60},
  timeoutMs: 2_500,
  heldShare: 0,
  partitionEndsAt: 0,
  restartsAt: [],
  killedDeliver: false,
  failsFrom: 0,
  callersMoveAt: Infinity,
  burstFrom: 0,
  burstTo: 0,
  burstFactor: 1,
};

function restartEvery(ms: number, count: number): readonly number[] {
  return Array.from({length: count}, (_, index) => (index + 2) * ms);
}

test.each([
  ['no trouble', {}],
  ['few requests', {requestsPerSecond: 5}],
  // Guards against retries that arrive after the window in which they were counted.
  ['a partition', {heldShare: 1, partitionEndsAt: 20_000, timeoutMs: 10_000}],
  [
    'a partition of half of the paths',
    {heldShare: 0.5, partitionEndsAt: 20_000, timeoutMs: 10_000},
  ],
  // Guards against restarts that renew the share of the retries beyond the ratio.
  [
    'restarts and few requests',
    {requestsPerSecond: 30, restartsAt: restartEvery(1_000, 20)},
  ],
  [
    'restarts beside a partition',
    {
      requestsPerSecond: 100,
      heldShare: 0.5,
      partitionEndsAt: 14_000,
      timeoutMs: 2_500,
      restartsAt: restartEvery(2_600, 8),
    },
  ],
  // Guards against requests of killed hosts that a partition delivers together.
  [
    'hosts killed again and again behind a partition',
    {
      heldShare: 1,
      partitionEndsAt: 20_000,
      timeoutMs: 2_500,
      killedDeliver: true,
      restartsAt: restartEvery(2_600, 8),
    },
  ],
  [
    'hosts killed again and again behind a longer partition',
    {
      durationMs: 45_000,
      heldShare: 1,
      partitionEndsAt: 28_000,
      timeoutMs: 2_500,
      killedDeliver: true,
      restartsAt: restartEvery(2_600, 9),
    },
  ],
  [
    'hosts killed once behind a partition',
    {
      heldShare: 1,
      partitionEndsAt: 16_000,
      timeoutMs: 10_000,
      killedDeliver: true,
      restartsAt: [14_000],
    },
  ],
  // Guards against a new life that spends the ratio again, beside what the last one spent.
  ['a restart amid failures', {failsFrom: 12_000, restartsAt: [14_500]}],
  // Guards against hosts that spend on the requests of callers that have moved on.
  [
    'callers that move amid failures',
    {failsFrom: 12_000, callersMoveAt: 14_500},
  ],
  // Guards against retries for requests of a burst that is over.
  [
    'a burst that ends amid failures',
    {failsFrom: 10_000, burstFrom: 2_500, burstTo: 12_500, burstFactor: 6},
  ],
] satisfies readonly (readonly [string, Partial<RetryScenario>])[])(
  'all hosts stay within the retry budget: %s',
  (_, trouble) => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const {arrivals, allowed} = simulateRetries({...CALM, ...trouble, seed});
      expect(arrivals).toBeLessThanOrEqual(allowed);
    }
  },
);

test('retries are used where requests fail and nothing else happens', () => {
  expect(simulateRetries(CALM).peakShare).toBeGreaterThan(0.75);
});
