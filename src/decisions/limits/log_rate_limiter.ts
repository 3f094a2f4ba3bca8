/** Limits how many log lines of one kind are written per second. */

import type {Milliseconds} from '../../time/index.js';

const MS_PER_SECOND = 1_000;

export class LogRateLimiter {
  private countInWindow = 0;
  private windowStart: Milliseconds = -Infinity;

  constructor(private readonly perSecond: number) {}

  /** Counts a line; returns whether it may be written. */
  tryTake(now: Milliseconds): boolean {
    if (now - this.windowStart >= MS_PER_SECOND) {
      this.windowStart = now;
      this.countInWindow = 0;
    }
    this.countInWindow += 1;
    return this.countInWindow <= this.perSecond;
  }
}
