/** Bounds how many lines of one sort are written to the log in a second. */

import type {Milliseconds} from '../../time/index.js';

const MS_PER_SECOND = 1_000;

export class LineBudget {
  private spent = 0;
  private since: Milliseconds = -Infinity;

  constructor(private readonly perSecond: number) {}

  /** Whether one more line may be written. */
  take(now: Milliseconds): boolean {
    if (now - this.since >= MS_PER_SECOND) {
      this.since = now;
      this.spent = 0;
    }
    this.spent += 1;
    return this.spent <= this.perSecond;
  }
}
