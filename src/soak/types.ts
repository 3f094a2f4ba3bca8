import type {Milliseconds} from '../time/index.js';

/** What was sent, as its caller remembers it. */
export interface SentRequest {
  readonly id: string;
  readonly host: number;
  readonly kind: 'lookup' | 'order';
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly at: Milliseconds;
}

/** How a request ended for its caller. */
export type RequestOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly body: string;
      readonly at: Milliseconds;
    }
  /** The connection ended without an answer. */
  | {readonly kind: 'cut'; readonly error: string; readonly at: Milliseconds}
  /** The caller's time was over. */
  | {readonly kind: 'given-up'; readonly at: Milliseconds};

/** A run of a request at an upstream. */
export interface ObservedRun {
  readonly id: string;
  readonly upstream: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly at: Milliseconds;
}

/** A promise that was broken. */
export interface Finding {
  readonly guarantee: string;
  readonly detail: string;
}

/** A span of time in which something was in trouble. */
export interface Span {
  readonly from: Milliseconds;
  readonly to: Milliseconds;
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

/** What happened in one seeded run. */
export interface RunReport {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly faults: Readonly<Record<string, number>>;
  readonly findings: readonly Finding[];
  readonly logFolder: string;
}
