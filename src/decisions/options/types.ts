import type {Milliseconds} from '../../time/index.js';

/** Settings of single decision mechanisms, to measure the effect of each. */
export interface DecisionOptions {
  /** Minimum size of a host's subset of a service's upstreams in one data centre. */
  readonly subset: number;
  /** Upstreams probed in one round. */
  readonly asked: number;
  /** Maximum age of a load report that is used instead of a probe. */
  readonly reuseMs: Milliseconds;
  /** Number of upstreams with such a report at which no probes are sent. */
  readonly knownNeeded: number;
  /** Whether hosts of a data centre share load reports. */
  readonly sharesView: boolean;
  /** Whether they share them only if that saves enough probes. */
  readonly sharesByGain: boolean;
  /** Whether nearby upstreams are preferred to those in other data centres. */
  readonly prefersNear: boolean;
  /** Whether idempotent requests without a response are hedged. */
  readonly hedges: boolean;
  /** Whether recent failures of an upstream raise its cost. */
  readonly remembersFailures: boolean;
  /** Whether requests that can't be answered in time take any free slot. */
  readonly servesLate: boolean;
  /** Whether orders avoid nearly full upstreams of services that reset when full. */
  readonly avoidsResets: boolean;
  /** Whether other data centres are probed first under a lasting local shortage. */
  readonly followsShortage: boolean;
  /** Minimum retry delay that is sent to refused callers. */
  readonly shortestRetryMs: Milliseconds;
}
