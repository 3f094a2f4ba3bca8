/**
 * Requests of one service that wait at this host for room at an upstream.
 *
 * Answers overload. An upstream serves first come, first served, slows down
 * when its slots are nearly full, and an answer after its target is worth
 * little; so what can't run at once waits here instead, the urgent before the
 * patient, and what can no longer be in time gives way to what can.
 */

import type {DecisionOptions} from '../options/index.js';
import type {Clock, Milliseconds} from '../../time/index.js';

/** A request that waits. */
export interface WaitingRequest {
  readonly id: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Started later than this, it misses its target. */
  readonly latestStartAt: Milliseconds;
  /** Started later than this, it can't be answered at all. */
  readonly lastStartAt: Milliseconds;
}

/**
 * One in so many goes to whoever is closest to missing its target, whatever
 * its rank: with urgent work enough to fill all room, patient work would
 * otherwise never run.
 */
const TURN_OF_THE_PATIENT = 6;
/** Weight of the newest interval between starts. */
const INTERVAL_WEIGHT = 0.1;
const FIRST_INTERVAL_MS: Milliseconds = 30;
/** An interval counts for no more, so that a pause is soon forgotten. */
const LONGEST_INTERVAL_MS: Milliseconds = 400;

export class WaitingLine {
  private readonly waiting = new Map<number, WaitingRequest>();
  private starts = 0;
  private lastStartedAt: Milliseconds | undefined;
  private intervalMs = FIRST_INTERVAL_MS;

  constructor(
    private readonly clock: Clock,
    private readonly options: DecisionOptions,
  ) {}

  get length(): number {
    return this.waiting.size;
  }

  add(request: WaitingRequest): void {
    this.waiting.set(request.id, request);
  }

  remove(id: number): void {
    this.waiting.delete(id);
  }

  /** Whose turn it is among those that the filter lets through. */
  next(
    allowed: (request: WaitingRequest) => boolean = () => true,
  ): WaitingRequest | undefined {
    const patient =
      this.starts % TURN_OF_THE_PATIENT === TURN_OF_THE_PATIENT - 1;
    const now = this.clock.now();
    let first: WaitingRequest | undefined;
    for (const request of this.waiting.values()) {
      if (
        allowed(request) &&
        isBefore(request, first, now, patient, this.options.newestFirst)
      ) {
        first = request;
      }
    }
    return first;
  }

  /** Takes a request out because it starts now. */
  start(id: number): void {
    this.waiting.delete(id);
    this.starts += 1;
    const now = this.clock.now();
    if (this.lastStartedAt !== undefined) {
      const interval = Math.min(LONGEST_INTERVAL_MS, now - this.lastStartedAt);
      this.intervalMs += INTERVAL_WEIGHT * (interval - this.intervalMs);
    }
    this.lastStartedAt = now;
  }

  /**
   * Those that have waited long enough: the ones that can't be answered any
   * more, and, while others can still be in time, those that can't.
   */
  hopeless(patient = false): readonly WaitingRequest[] {
    const now = this.clock.now();
    const all = [...this.waiting.values()];
    const contested =
      !patient && all.some(({latestStartAt}) => latestStartAt >= now);
    return all.filter(
      ({latestStartAt, lastStartAt}) =>
        lastStartAt < now || (contested && latestStartAt < now),
    );
  }

  /** Time after which those who wait now will have started. */
  get drainMs(): Milliseconds {
    return this.waiting.size * this.intervalMs;
  }
}

/** Those in time before the late; then by rank, then by what is due first. */
function isBefore(
  request: WaitingRequest,
  other: WaitingRequest | undefined,
  now: Milliseconds,
  patient: boolean,
  newestFirst: boolean,
): boolean {
  if (!other) {
    return true;
  }
  const late = request.latestStartAt < now;
  const otherLate = other.latestStartAt < now;
  if (late !== otherLate) {
    return otherLate;
  }
  if (!patient && request.rank !== other.rank) {
    return request.rank < other.rank;
  }
  if (newestFirst && !late && !patient) {
    return request.latestStartAt > other.latestStartAt;
  }
  return request.latestStartAt < other.latestStartAt;
}
