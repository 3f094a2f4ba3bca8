/**
 * Limits retries over a sliding window, without communication between hosts.
 *
 * Prevents retry storms of a whole fleet. Operators allow a ratio of all first attempts of
 * a window, or of the window before it. A host that kept to that ratio in windows of its
 * own would not be enough: hosts whose callers move, and lives of a host that restarts,
 * are busy at different times, and one window would hold the retries of two. So the
 * retries since any moment are limited to half of the ratio of the first attempts since a
 * window before that moment. These bounds add up over hosts and lives: all retries of a
 * window are at most half of the ratio of two windows, the fuller of which allows them.
 *
 * A retry counts from when it is sent until a window after its request has ended: until
 * then an attempt that the network holds back may arrive, and the operators count arrivals.
 */

import type {Clock, Milliseconds} from '../../time/index.js';

const PARTS_PER_WINDOW = 10;
/** A first attempt backs retries of its own window and of the next one. */
const BACKING_SHARE = 1 / 2;

/** A retry that the budget allowed. */
export interface RetryPermit {
  /** Call it once no attempt of the retried request is pending. */
  settle(): void;
}

/** First attempts and retries that count in the window. */
export interface RetryUsage {
  readonly firstAttempts: number;
  readonly retries: number;
}

interface Part {
  readonly from: Milliseconds;
  firstAttempts: number;
  retries: number;
  /** Time of the last retry; -Infinity if there is none. */
  retriedAt: Milliseconds;
}

export class SlidingWindowBudget {
  private readonly partMs: Milliseconds;
  /** Time after which a part backs no retry that still counts. */
  private readonly keptMs: Milliseconds;
  private parts: readonly Part[] = [];
  /** Retries of requests that may still arrive at an upstream. */
  private unsettled = 0;

  constructor(
    private readonly clock: Clock,
    private readonly windowMs: Milliseconds,
    /** Retries per first attempt, e.g. 0.2. */
    private readonly ratio: number,
  ) {
    this.partMs = windowMs / PARTS_PER_WINDOW;
    this.keptMs = 2 * windowMs + this.partMs;
  }

  noteFirstAttempt(): void {
    this.part().firstAttempts += 1;
  }

  /**
   * Consumes a retry; undefined if the window allows none.
   *
   * @param slack retries allowed beyond the ratio
   * @param ratioShare share of the ratio that may be used
   */
  trySpend(slack: number, ratioShare = 1): RetryPermit | undefined {
    if (!this.allows(slack, ratioShare)) {
      return undefined;
    }
    this.unsettled += 1;
    let isSettled = false;
    return {
      settle: () => {
        if (!isSettled) {
          isSettled = true;
          this.unsettled -= 1;
          const part = this.part();
          part.retries += 1;
          part.retriedAt = this.clock.now();
        }
      },
    };
  }

  /** Whether a retry is allowed, without consuming it. */
  allows(slack: number, ratioShare = 1): boolean {
    const now = this.clock.now();
    const backing = this.ratio * ratioShare * BACKING_SHARE;
    const spans = [
      ...this.countedParts.map(({from, retriedAt}) => ({
        retries: this.retriesSince(from),
        backedFrom: retriedAt - this.windowMs,
      })),
      {retries: this.unsettled, backedFrom: now - this.windowMs},
    ];
    return spans.every(({retries, backedFrom}) => {
      const firstAttempts = sumOf(this.partsSince(backedFrom), 'firstAttempts');
      return retries + 1 <= backing * firstAttempts + slack;
    });
  }

  /** What counts at this moment. */
  get usage(): RetryUsage {
    const from = this.clock.now() - this.windowMs;
    return {
      firstAttempts: sumOf(this.partsSince(from), 'firstAttempts'),
      retries: this.unsettled + sumOf(this.countedParts, 'retries'),
    };
  }

  /** Parts with retries that still count. */
  private get countedParts(): readonly Part[] {
    const since = this.clock.now() - this.windowMs;
    return this.parts.filter(({retriedAt}) => retriedAt >= since);
  }

  private retriesSince(from: Milliseconds): number {
    return this.unsettled + sumOf(this.partsSince(from), 'retries');
  }

  private partsSince(from: Milliseconds): readonly Part[] {
    return this.parts.filter(part => part.from >= from);
  }

  private part(): Part {
    const now = this.clock.now();
    const last = this.parts.at(-1);
    if (last && now - last.from < this.partMs) {
      return last;
    }
    const part = {
      from: now,
      firstAttempts: 0,
      retries: 0,
      retriedAt: -Infinity,
    };
    this.parts = [...this.partsSince(now - this.keptMs), part];
    return part;
  }
}

function sumOf(
  parts: readonly Part[],
  count: 'firstAttempts' | 'retries',
): number {
  return parts.reduce((sum, part) => sum + part[count], 0);
}
