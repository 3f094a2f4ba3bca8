/** Limits calls per window of one second, as the platform's store does. */

import type {Clock, Milliseconds} from '../time/index.js';

const SECOND_MS: Milliseconds = 1_000;

export class FixedWindowRateLimiter {
  private windowStart: Milliseconds;
  private count = 0;

  constructor(
    private readonly clock: Clock,
    /** Limit shared by all callers. */
    public perSecond: number,
  ) {
    this.windowStart = clock.now();
  }

  /** Counts a call; returns false if it exceeds the limit. */
  tryTake(): boolean {
    const now = this.clock.now();
    if (now - this.windowStart >= SECOND_MS) {
      this.windowStart = now;
      this.count = 0;
    }
    this.count += 1;
    return this.count <= this.perSecond;
  }
}
