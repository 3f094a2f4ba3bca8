import type {Milliseconds} from '../../time/index.js';

/** Mechanisms of the decisions that can be set apart, to measure each. */
export interface DecisionOptions {
  /** Upstreams asked for their load at once. */
  readonly asked: number;
  /** A report of this age is used again. */
  readonly reuseMs: Milliseconds;
  /** Whether what is known is looked at before anybody is asked. */
  readonly viewFirst: boolean;
  /** Whether slots where all work gets slower stay free. */
  readonly keepToKnee: boolean;
  /** Whether late work goes where nothing would be in time. */
  readonly lateWorkAside: boolean;
  /** Whether the time that callers have left tells how late they are. */
  readonly knowsReturns: boolean;
  /** Whether a nearby upstream goes before one in another data centre. */
  readonly prefersNear: boolean;
  /** Which requests wait at the host for room; the others come back. */
  readonly waits: 'all' | 'returned' | 'none';
  /** Run time that is set aside for a start in time, in usual run times. */
  readonly startMargin: number;
  /** Whether the newest that waits goes first, rather than the oldest. */
  readonly newestFirst: boolean;
  /** Whether hosts of a data centre tell each other what upstreams told. */
  readonly sharesView: boolean;
  /** Whether a host without waiting requests passes free slots on. */
  readonly passesSlots: boolean;
  /** While requests wait, upstreams are asked this often. */
  readonly lookIntervalMs: Milliseconds;
  /** Whether each arrival has upstreams asked, also while others wait. */
  readonly arrivalsLook: boolean;
  /** Longest wait for room. */
  readonly mostWaitMs: Milliseconds;
  /** Shortest time after which callers come back. */
  readonly shortestRetryMs: Milliseconds;
  readonly retrySpread: number;
  /** Upstreams of which something fresh must be known to ask nobody. */
  readonly knownNeeded: number;
  /** Whether silent lookups are sent a second time. */
  readonly hedges: boolean;
  /** Whether failures of an upstream are remembered. */
  readonly remembersFailures: boolean;
}
