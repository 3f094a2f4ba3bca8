import type {DecisionOptions} from './types.js';

export const DEFAULT_OPTIONS: DecisionOptions = {
  asked: 3,
  reuseMs: 20,
  viewFirst: true,
  keepToKnee: false,
  lateWorkAside: false,
  knowsReturns: false,
  prefersNear: true,
  waits: 'none',
  startMargin: 1,
  newestFirst: false,
  sharesView: true,
  passesSlots: false,
  lookIntervalMs: 40,
  arrivalsLook: false,
  mostWaitMs: Infinity,
  shortestRetryMs: 30,
  retrySpread: 0.5,
  knownNeeded: 2,
  hedges: true,
  remembersFailures: true,
};
