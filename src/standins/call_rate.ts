/** Counts calls against a rate, as the platform's store does. */

import type {Clock, Milliseconds} from '../time/index.js';

const SECOND_MS: Milliseconds = 1_000;

export class CallRate {
  private since: Milliseconds;
  private count = 0;

  constructor(
    private readonly clock: Clock,
    /** Calls allowed in each second, of all callers. */
    public perSecond: number,
  ) {
    this.since = clock.now();
  }

  /** Whether one more call is within the rate. */
  take(): boolean {
    const now = this.clock.now();
    if (now - this.since >= SECOND_MS) {
      this.since = now;
      this.count = 0;
    }
    this.count += 1;
    return this.count <= this.perSecond;
  }
}
