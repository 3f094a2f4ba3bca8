import type {Milliseconds} from '../time/index.js';
import type {Transfer, TransferKind} from './transfers.js';

/** A request as its caller sent it. */
export interface SentRequest {
  readonly id: string;
  readonly host: number;
  readonly kind: 'lookup' | 'order' | TransferKind;
  readonly method: string;
  readonly target: string;
  /** Without padding, as are the bodies of runs and responses. */
  readonly body: string;
  /** Undefined if the request and its response are small. */
  readonly transfer?: Transfer | undefined;
  /** Undefined if the configuration has no customers. */
  readonly key?: string;
  readonly at: Milliseconds;
}

/** Outcome of a request for its caller. */
export type RequestOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly body: string;
      readonly at: Milliseconds;
    }
  /** The connection closed before the complete response. */
  | (Unanswered & {readonly kind: 'cut'; readonly error: string})
  /** The caller timed out. */
  | (Unanswered & {readonly kind: 'given-up'});

export interface Unanswered {
  readonly at: Milliseconds;
  /** When its last byte reached the host, if it did and the host is behind a link. */
  readonly deliveredAt?: Milliseconds;
}

/** One execution of a request at an upstream. */
export interface ObservedRun {
  readonly id: string;
  readonly upstream: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  /** Headers with names in lower case. */
  readonly headers: ReadonlyMap<string, string>;
  readonly at: Milliseconds;
}

/** A violated guarantee. */
export interface Finding {
  readonly guarantee: string;
  readonly detail: string;
}

/** A time span, for example of a fault. */
export interface Span {
  readonly from: Milliseconds;
  readonly to: Milliseconds;
}

/** The time during which hosts could reach no upstream. */
export interface PathCut extends Span {
  readonly hosts: readonly number[];
}

/** A request that reached an upstream, executed or not. */
export interface Arrival {
  readonly id: string;
  readonly at: Milliseconds;
}

/** The time during which an upstream announced a rate limit. */
export interface RateLimitSpan extends Span {
  readonly upstream: string;
  readonly perSecond: number;
}

/** A request that an upstream refused with Retry-After. */
export interface Refusal {
  readonly id: string;
  readonly upstream: string;
  readonly at: Milliseconds;
  readonly until: Milliseconds;
}

/** Result of one seeded run. */
export interface RunReport {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly faults: Readonly<Record<string, number>>;
  readonly findings: readonly Finding[];
  readonly logFolder: string;
}
