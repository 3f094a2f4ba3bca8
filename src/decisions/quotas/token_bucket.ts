/** A token bucket whose rate and capacity may change between uses. */

import type {Milliseconds} from '../../time/index.js';

export const MS_PER_SECOND = 1_000;

/** Rate and capacity now. */
export interface BucketLimits {
  readonly perSecond: number;
  readonly capacity: number;
}

export class TokenBucket {
  /** @param at time at which it has this level */
  constructor(
    private current: number,
    private at: Milliseconds,
  ) {}

  level({perSecond, capacity}: BucketLimits, now: Milliseconds): number {
    const added = (perSecond * Math.max(0, now - this.at)) / MS_PER_SECOND;
    this.current = Math.min(capacity, this.current + added);
    this.at = Math.max(this.at, now);
    return this.current;
  }

  /** Takes whole tokens. */
  take(wanted: number, limits: BucketLimits, now: Milliseconds): number {
    const available = Math.floor(this.level(limits, now) + Number.EPSILON);
    const taken = Math.max(0, Math.min(wanted, available));
    this.current -= taken;
    return taken;
  }

  /** Time until there is a whole token. */
  waitMs(limits: BucketLimits, now: Milliseconds): Milliseconds {
    const missing = 1 - this.level(limits, now);
    return Math.max(0, (missing / limits.perSecond) * MS_PER_SECOND);
  }
}
