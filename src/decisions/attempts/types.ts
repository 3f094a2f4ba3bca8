import type {Milliseconds} from '../../time/index.js';

/** What limits the sends of one request. */
export interface AttemptLimits {
  /** Whether the request is idempotent. */
  readonly repeatable: boolean;
  /** Most upstreams that it may be sent to. */
  readonly attempts: number;
}

/** How an attempt ended, as far as it matters for what follows. */
export type AttemptEnd =
  /** A whole answer that isn't the upstream's own error. */
  | 'answered'
  /** The upstream ran the request and answered with its own error. */
  | 'failed'
  /** Certainly not run: unsent, shed, or another upstream's address. */
  | 'not-run'
  /** No whole and genuine answer: it may have run. */
  | 'broken';

/** What is known when an attempt has ended. */
export interface RetryConditions {
  readonly leftMs: Milliseconds;
  /** Whether the body is still there to be sent again. */
  readonly isBodyBuffered: boolean;
  /** Takes one repeat from the budget of retries, if there is one. */
  readonly trySpendRetry: () => boolean;
}

export type NextStep =
  /** Deliver the answer that has just come. */
  | {readonly kind: 'deliver'}
  | {readonly kind: 'repeat'}
  /** Another send of the request is still unanswered. */
  | {readonly kind: 'await-other'}
  | {
      readonly kind: 'refuse';
      readonly reason: 'upstreams-refused' | 'attempt-broken';
    };
