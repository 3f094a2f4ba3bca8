/**
 * Token bucket that keeps a host's appends within its share of the log's rate.
 *
 * The log takes several hundred appends a second, for configuration, seats and
 * claims together. A host's share is the configured total divided by the
 * maximum number of hosts, so that hosts with different views of the fleet
 * cannot exceed the total together; claims that wait share one append.
 */

import type {Milliseconds} from '../../time/index.js';

/** Capacity of the bucket, in appends. */
const MAX_BURST = 3;

export class AppendBudget {
  private tokens = MAX_BURST;

  constructor(
    private readonly appendsPerSecond: number,
    private refilledAt: Milliseconds,
  ) {}

  /** Returns 0 if a token was spent, else the time until one is available. */
  trySpend(now: Milliseconds): Milliseconds {
    const refill = ((now - this.refilledAt) * this.appendsPerSecond) / 1000;
    this.tokens = Math.min(MAX_BURST, this.tokens + refill);
    this.refilledAt = now;
    if (this.tokens >= 1) {
      this.tokens -= 1;
      return 0;
    }
    return ((1 - this.tokens) / this.appendsPerSecond) * 1000;
  }
}
