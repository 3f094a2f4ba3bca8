import type {Milliseconds} from '../../time/index.js';

/** An upstream's load, as it tells itself. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there at this moment; 1 is as usual. */
  readonly slowness: number;
}

/** What an upstream answered when asked for its load. */
export interface ProbeAnswer {
  readonly id: string;
  /** Undefined when the upstream's service tells no load. */
  readonly report: LoadReport | undefined;
  readonly healthy: boolean;
  /**
   * How much longer it is cold, as it said when it was asked; undefined where its load
   * came with the answer to a request, which doesn't tell.
   */
  readonly coldMs?: Milliseconds;
}

/** A request to be placed. */
export interface PlacementRequest {
  readonly service: string;
  /** Names what requests are alike, so that their work is too. */
  readonly route: string;
  /** Upstreams that have had this request. */
  readonly tried: ReadonlySet<string>;
  readonly targetMs: Milliseconds;
  readonly targetAt: Milliseconds;
  readonly giveUpAt: Milliseconds;
  /** Regions whose upstreams may run it; undefined where all may. */
  readonly regions?: readonly string[];
}

export type PlacementDecision =
  | {readonly kind: 'send'; readonly id: string}
  /** None of those asked will do: ask others. */
  | {readonly kind: 'ask-more'}
  /** No upstream has room that would do. */
  | {readonly kind: 'no-room'};
