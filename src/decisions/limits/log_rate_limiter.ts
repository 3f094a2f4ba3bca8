/** Bounds how many lines of one sort are written to the log in a second. */

import type {Milliseconds} from '../../time/index.js';

const MS_PER_SECOND = 1_000;

export class LogRateLimiter {
  private countInWindow = 0;
  private windowStart: Milliseconds = -Infinity;

  constructor(private readonly perSecond: number) {}

  /** Whether one more line may be written. */
  tryTake(now: Milliseconds): boolean {
    if (now - this.windowStart >= MS_PER_SECOND) {
      this.windowStart = now;
      this.countInWindow = 0;
    }
    this.countInWindow += 1;
    return this.countInWindow <= this.perSecond;
  }
}
