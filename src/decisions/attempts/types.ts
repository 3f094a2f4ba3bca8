import type {Milliseconds} from '../../time/index.js';

/** Limits for the attempts of one request. */
export interface AttemptLimits {
  /** Whether the request is idempotent. */
  readonly repeatable: boolean;
  /** Maximum number of upstreams that it may be sent to. */
  readonly attempts: number;
}

/** How an attempt ended, as far as the next step depends on it. */
export type AttemptEnd =
  /** A complete response that isn't a server error. */
  | 'answered'
  /** The upstream ran the request and responded with a server error. */
  | 'failed'
  /** Certainly not run: unsent, shed, or the address belongs to another upstream. */
  | 'not-run'
  /** No complete and genuine response: the request may have run. */
  | 'broken';

/** What a retry depends on when an attempt has ended. */
export interface RetryConditions {
  readonly leftMs: Milliseconds;
  /** Whether the request body is still held and can be sent again. */
  readonly isBodyBuffered: boolean;
  /** Consumes a retry of the budget; returns false if there is none. */
  readonly trySpendRetry: () => boolean;
}

export type NextStep =
  /** Send this attempt's response to the caller. */
  | {readonly kind: 'deliver'}
  | {readonly kind: 'repeat'}
  /** Wait for another attempt that is still pending. */
  | {readonly kind: 'await-other'}
  | {
      readonly kind: 'refuse';
      readonly reason: 'upstreams-refused' | 'attempt-broken';
    };
