import type {Milliseconds} from '../../time/index.js';
import type {
  PlacementRequest,
  ProbeAnswer,
  SendBlockers,
} from '../placement/index.js';
import type {UpstreamInService} from '../registry/index.js';

/** A request of this host that needs an upstream. */
export interface ScheduledRequest extends PlacementRequest {
  /** Unique on this host. */
  readonly id: number;
}

/** The upstream for a request, and the probe answer that it was selected by. */
export interface Placed {
  readonly kind: 'placed';
  readonly upstream: UpstreamInService;
  readonly answer: ProbeAnswer;
  /** Age of that answer. */
  readonly answerAgeMs: Milliseconds;
  /** Time that the request is expected to take there. */
  readonly expectedMs: Milliseconds;
}

export type RefusalReason = 'no-upstream' | 'no-room';

export interface Refused {
  readonly kind: 'refused';
  readonly reason: RefusalReason;
  readonly retryAfterMs: Milliseconds;
  /** Answers of the upstreams that were considered, to probes or from the load view. */
  readonly told: readonly ProbeAnswer[];
  /** Rate limits and backoffs that prevented sends; only the first few of each. */
  readonly blockers: SendBlockers;
}

export type SchedulingResult = Placed | Refused;

/** What the caller of the scheduler has to do next. */
export type SchedulerAction =
  | {readonly kind: 'probe'; readonly upstream: UpstreamInService}
  | {
      readonly kind: 'settle';
      readonly id: number;
      readonly result: SchedulingResult;
    };
