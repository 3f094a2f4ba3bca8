/** What a simulated overload consists of. */

import type {Milliseconds} from '../../src/time/index.js';

/** Requests of one customer and kind. */
export interface Load {
  readonly customer: string;
  readonly priority?: number;
  readonly rank: number;
  readonly isDownload?: boolean;
  readonly workMs: Milliseconds;
  readonly targetMs: Milliseconds;
  readonly deadlineMs: Milliseconds;
  /** Requests per second at a time. */
  readonly rateAt: (at: Milliseconds) => number;
}

export interface OverloadScenario {
  readonly seed?: number;
  readonly hosts: number;
  readonly upstreams: number;
  readonly slots: number;
  readonly loads: readonly Load[];
  readonly endMs: Milliseconds;
  /** Without plans, each host decides by what it observes. */
  readonly hasPlans?: boolean;
  /** Times that a caller comes back after a refusal. */
  readonly returns?: number;
  /** When refused callers return, if they don't honour Retry-After. */
  readonly returnAt?: (now: Milliseconds) => Milliseconds;
  /** Upstreams that are lost for a time. */
  readonly outage?: {
    readonly from: Milliseconds;
    readonly to: Milliseconds;
    readonly upstreams: number;
  };
  readonly messageMs?: Milliseconds;
  readonly messageLoss?: number;
}

/** What became of a caller's request. */
export interface CallerRequest {
  readonly load: Load;
  readonly firstSentAt: Milliseconds;
  answeredAt: Milliseconds | undefined;
  refusals: number;
  readonly retryAfterMs: Milliseconds[];
  /** Refusals by a plan while most slots were free. */
  shedWhileFree: number;
  /** The same while most slots were free at upstreams that would have been in time. */
  shedWhileUsable: number;
}
