/** Events, decisions and policy of the dispatcher. */

import type {Milliseconds} from '../../time/index.js';
import type {RoutingOptions} from '../routing/index.js';

/** A request as its rule and its caller describe it. */
export interface DispatchRequest {
  readonly id: number;
  readonly class: 'prompt' | 'patient';
  readonly tenant: string;
  /** Whether it is idempotent; otherwise it must run at most once. */
  readonly repeatable: boolean;
  readonly deadlineAt: Milliseconds;
  /** Attempts allowed after the first. */
  readonly retries: number;
  readonly hedge: boolean;
  /**
   * Number of calls above this one in the call chain. Only the outermost retries what
   * may have run; otherwise each of 18 levels would multiply the attempts.
   */
  readonly depth: number;
}

/** One attempt to send a request to one upstream. */
export interface AttemptId {
  readonly requestId: number;
  readonly attempt: number;
}

/** How an attempt ended without a usable response. */
export type AttemptFailure =
  /** No byte was sent: the upstream certainly did not run the request. */
  | 'unsent'
  /** The upstream refused the request and is trusted not to have run it. */
  | 'shed'
  /** A server error (5xx). */
  | 'error'
  /** Bytes were sent without a complete response: the request may have run. */
  | 'broken';

export type DispatchEvent =
  | {readonly kind: 'arrived'; readonly request: DispatchRequest}
  /** The attempt's response is being sent to the caller, so that no other may be. */
  | ({readonly kind: 'started'} & AttemptId)
  | ({readonly kind: 'answered'; readonly load?: number} & AttemptId)
  | ({
      readonly kind: 'failed';
      readonly failure: AttemptFailure;
      readonly load?: number;
      /** Part of a response was sent to the caller, so that no other may be. */
      readonly committed?: boolean;
      /** The request body is no longer buffered and can't be sent again. */
      readonly bodyDiscarded?: boolean;
    } & AttemptId)
  | {readonly kind: 'abandoned'; readonly requestId: number}
  | {readonly kind: 'expired'; readonly requestId: number}
  | {
      readonly kind: 'reported';
      readonly upstream: string;
      readonly load: number;
    }
  | {readonly kind: 'tick'};

export type RefusalReason =
  | 'queue-full'
  | 'cannot-meet-deadline'
  | 'deadline-passed'
  | 'no-upstream'
  | 'upstreams-refused'
  | 'attempt-broken'
  | 'attempt-timed-out';

/** Whether a request that got no response is known not to have run. */
export type Outcome = 'not-run' | 'unknown';

export type DispatchDecision =
  | ({
      readonly kind: 'send';
      readonly upstream: string;
      readonly hedged: boolean;
    } & AttemptId)
  | ({readonly kind: 'cancel'} & AttemptId)
  | {
      readonly kind: 'refuse';
      readonly requestId: number;
      readonly outcome: Outcome;
      readonly reason: RefusalReason;
      /** When a retry may succeed. */
      readonly retryAfterMs: Milliseconds;
    }
  /** Send this attempt's error response to the caller, as no retry follows. */
  | ({readonly kind: 'deliver-error'} & AttemptId);

/** How a service is dispatched. */
export interface DispatchPolicy {
  /** Maximum number of queued requests. */
  readonly queue: number;
  /** Share of turns for patient requests; like the ratios from 0 to 1. */
  readonly patientShare: number;
  readonly retryRatio: number;
  readonly hedgeRatio: number;
  readonly routing: RoutingOptions;
}
