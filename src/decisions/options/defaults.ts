import type {DecisionOptions} from './types.js';

/**
 * What hosts use. Figures of the emulator are shares of the worth, the mean of
 * five seeds; docs/DECISIONS-UNDER-LOAD.md has all scenarios.
 */
export const DEFAULT_OPTIONS: DecisionOptions = {
  // 2, 3 and 6 asked: within 0.01 of each other near capacity; 3 costs a third
  // fewer probes on a calm day than 6.
  asked: 3,
  // 10, 20 and 40 ms: 20 is best in an overload; an upstream's speed changes
  // each 300 ms.
  reuseMs: 20,
  // With one known upstream a quiet host would send all to the same.
  knownNeeded: 2,
  sharesView: true,
  prefersNear: true,
  hedges: true,
  remembersFailures: true,
  servesLate: true,
  // 20, 30, 40, 60 and 100 ms: callers who come back sooner are more often
  // still in time; below 30 ms they meet the same full slots.
  shortestRetryMs: 30,
};
