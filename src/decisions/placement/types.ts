import type {Milliseconds} from '../../time/index.js';

/** Load that an upstream reports about itself. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Factor on run times at this moment; 1 is normal. */
  readonly slowness: number;
}

/** Load and health of an upstream, from a probe or from a response to a request. */
export interface ProbeAnswer {
  readonly id: string;
  /** Undefined if upstreams of this service don't report load. */
  readonly report: LoadReport | undefined;
  readonly healthy: boolean;
  /**
   * How much longer it is cold, as of the probe; undefined if the load came with the
   * response to a request, which doesn't contain it.
   */
  readonly coldMs?: Milliseconds;
}

/** A request to be placed. */
export interface PlacementRequest {
  readonly service: string;
  /** Whether it may run more than once; undefined counts as true. */
  readonly repeatable?: boolean;
  /** Groups requests whose run times are similar. */
  readonly route: string;
  /** Ids of upstreams to which the request has been sent before. */
  readonly tried: ReadonlySet<string>;
  readonly targetMs: Milliseconds;
  readonly targetAt: Milliseconds;
  readonly giveUpAt: Milliseconds;
  /** Regions whose upstreams may run it; undefined if all may. */
  readonly regions?: readonly string[];
}

export type PlacementDecision =
  | {readonly kind: 'send'; readonly id: string}
  /** None of the probed upstreams is good enough: probe others. */
  | {readonly kind: 'ask-more'}
  /** No upstream has an acceptable free slot. */
  | {readonly kind: 'no-room'};
