/** What goes into the decisions about requests, and what comes out. */

import type {Milliseconds} from '../../time/index.js';
import type {RoutingOptions} from '../routing/index.js';

/** A request as its rule and its caller describe it. */
export interface DispatchRequest {
  readonly id: number;
  readonly class: 'prompt' | 'patient';
  readonly tenant: string;
  /** Idempotent; otherwise an order, run at most once. */
  readonly repeatable: boolean;
  readonly deadlineAt: Milliseconds;
  /** Attempts allowed after the first. */
  readonly retries: number;
  readonly hedge: boolean;
  /**
   * Calls above this one. Only the outermost retries what may have run;
   * otherwise each of 18 levels would multiply the attempts.
   */
  readonly depth: number;
}

/** One try of a request at one upstream. */
export interface AttemptId {
  readonly requestId: number;
  readonly attempt: number;
}

/** How an attempt ended without a usable answer. */
export type AttemptFailure =
  /** No byte left this host: the request was certainly not run there. */
  | 'unsent'
  /** The upstream refused it, and its refusal is trusted as made before running. */
  | 'shed'
  /** An answer that says the upstream is at fault (5xx). */
  | 'error'
  /** Bytes left and no whole answer came: it may have run. */
  | 'broken';

export type DispatchEvent =
  | {readonly kind: 'arrived'; readonly request: DispatchRequest}
  /** The answer has begun to go to the caller: no other may. */
  | ({readonly kind: 'started'} & AttemptId)
  | ({readonly kind: 'answered'; readonly load?: number} & AttemptId)
  | ({
      readonly kind: 'failed';
      readonly failure: AttemptFailure;
      readonly load?: number;
      /** Part of an answer has gone to the caller: no other may follow. */
      readonly committed?: boolean;
      /** The body is gone and can't be sent again. */
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

/** What is certain about a request that got no upstream's answer. */
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
      /** When asking again makes sense. */
      readonly retryAfterMs: Milliseconds;
    }
  /** Hand this attempt's error answer to the caller: nothing better comes. */
  | ({readonly kind: 'deliver-error'} & AttemptId);

/** How a service is dispatched. */
export interface DispatchPolicy {
  /** Requests that may wait here. */
  readonly queue: number;
  /** Shares from 0 to 1. */
  readonly patientShare: number;
  readonly retryRatio: number;
  readonly hedgeRatio: number;
  readonly routing: RoutingOptions;
}
