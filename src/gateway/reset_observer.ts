/** Learns from the ends of attempts which services reset connections when full. */

import type {
  LoadReport,
  LoadView,
  SendEnd,
} from '../decisions/placement/index.js';
import {freeSlots} from '../decisions/placement/index.js';
import type {ResetExchange} from '../resets/index.js';
import type {Milliseconds} from '../time/index.js';
import type {AttemptResult} from '../upstreams/index.js';

/**
 * A connection that breaks within this share of the expected run time counts as reset:
 * a full upstream resets it at once, others break at any time of the run.
 */
const RESET_TIME_SHARE = 0.5;

export interface ResetObserverParts {
  readonly service: string;
  readonly upstream: string;
  /** Load that the upstream reported last; undefined if it reports none. */
  readonly report: LoadReport | undefined;
  readonly expectedMs: Milliseconds;
  readonly view: LoadView;
  readonly resets: ResetExchange;
}

export class ResetObserver {
  private readonly freeBefore: number;

  /** Create it when the request is counted as sent. */
  constructor(private readonly parts: ResetObserverParts) {
    const {report, view, upstream} = parts;
    const sentByOthers = view.unreportedSends(upstream) - 1;
    this.freeBefore = report ? freeSlots(report, sentByOthers) : 0;
  }

  noteEnd(result: AttemptResult, elapsedMs: Milliseconds): void {
    const {service, report, resets} = this.parts;
    const end = this.endOf(result, elapsedMs);
    if (report && end) {
      resets.noteEnd(service, report, this.freeBefore, end);
    }
  }

  /** Undefined if the upstream may not have received the request. */
  private endOf(
    result: AttemptResult,
    elapsedMs: Milliseconds,
  ): SendEnd | undefined {
    switch (result.kind) {
      case 'broken':
        return elapsedMs <= RESET_TIME_SHARE * this.parts.expectedMs
          ? 'reset'
          : 'other';
      case 'not-run':
        return result.reason === 'shed' ? 'shed' : undefined;
      case 'answered':
      case 'long':
        return 'other';
      case 'cancelled':
        return undefined;
      default:
        return result satisfies never;
    }
  }
}
