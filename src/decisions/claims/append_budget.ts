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
const MAX_SAVED = 3;

export class AppendBudget {
  private saved = MAX_SAVED;

  constructor(
    private readonly appendsPerSecond: number,
    private refilledAt: Milliseconds,
  ) {}

  /** Time until an append is allowed; 0 spends it. */
  spend(now: Milliseconds): Milliseconds {
    const earned = ((now - this.refilledAt) * this.appendsPerSecond) / 1000;
    this.saved = Math.min(MAX_SAVED, this.saved + earned);
    this.refilledAt = now;
    if (this.saved >= 1) {
      this.saved -= 1;
      return 0;
    }
    return ((1 - this.saved) / this.appendsPerSecond) * 1000;
  }
}
