/** Counts calls against a rate, as the platform's store does. */

import type {Clock, Milliseconds} from '../time/index.js';

const SECOND_MS: Milliseconds = 1_000;

export class FixedWindowRateLimiter {
  private windowStart: Milliseconds;
  private count = 0;

  constructor(
    private readonly clock: Clock,
    /** Calls allowed in each second, of all callers. */
    public perSecond: number,
  ) {
    this.windowStart = clock.now();
  }

  /** Whether one more call is within the rate. */
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
