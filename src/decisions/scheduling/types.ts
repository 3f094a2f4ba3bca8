import type {Milliseconds} from '../../time/index.js';
import type {
  PlacementRequest,
  ProbeAnswer,
  SendBlockers,
} from '../placement/index.js';
import type {UpstreamInService} from '../registry/index.js';

/** A request of this host that wants an upstream. */
export interface ScheduledRequest extends PlacementRequest {
  /** Names it on this host. */
  readonly id: number;
}

/** An upstream for a request, and what it told just before. */
export interface Placed {
  readonly kind: 'placed';
  readonly upstream: UpstreamInService;
  readonly answer: ProbeAnswer;
  /** Age of what it told. */
  readonly answerAgeMs: Milliseconds;
  /** Time that the request is expected to take there. */
  readonly expectedMs: Milliseconds;
}

export type RefusalReason = 'no-upstream' | 'no-room';

export interface Refused {
  readonly kind: 'refused';
  readonly reason: RefusalReason;
  readonly retryAfterMs: Milliseconds;
  /** What upstreams told, or what was known of them. */
  readonly told: readonly ProbeAnswer[];
  /** Rate limits and backoffs that prevented sends; only the first few of each. */
  readonly blockers: SendBlockers;
}

export type SchedulingResult = Placed | Refused;

/** What is to be done next. */
export type SchedulerAction =
  | {readonly kind: 'probe'; readonly upstream: UpstreamInService}
  | {
      readonly kind: 'settle';
      readonly id: number;
      readonly result: SchedulingResult;
    };
