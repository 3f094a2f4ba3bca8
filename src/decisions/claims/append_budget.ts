/**
 * Keeps a host's appends within its share of the log's rate.
 *
 * Answers the overrun log: several hundred appends a second are all there is
 * for configuration, seats and claims together. The share is the declared
 * whole divided by the hosts that may exist, so that hosts that disagree about
 * the fleet cannot exceed it together; claims that wait share one append.
 */

import type {Milliseconds} from '../../time/index.js';

/** Appends that may be saved up. */
const MAX_BURST = 3;

export class AppendBudget {
  private tokens = MAX_BURST;

  constructor(
    private readonly appendsPerSecond: number,
    private refilledAt: Milliseconds,
  ) {}

  /** Time until an append is allowed; 0 spends it. */
  trySpend(now: Milliseconds): Milliseconds {
    const earned = ((now - this.refilledAt) * this.appendsPerSecond) / 1000;
    this.tokens = Math.min(MAX_BURST, this.tokens + earned);
    this.refilledAt = now;
    if (this.tokens >= 1) {
      this.tokens -= 1;
      return 0;
    }
    return ((1 - this.tokens) / this.appendsPerSecond) * 1000;
  }
}
