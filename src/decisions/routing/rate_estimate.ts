/**
 * Completions per busy slot and millisecond, over an exponential window.
 *
 * Detects slow servers early: load shifts within milliseconds, and a mean latency over
 * finished requests shows a slow server only when the slow requests end. Busy time
 * counts from the moment of sending, so this rate falls while no responses arrive.
 */

import type {Milliseconds} from '../../time/index.js';

export class RateEstimate {
  private completions = 0;
  private busyMs = 0;
  private busySlots = 0;

  constructor(
    private readonly windowMs: Milliseconds,
    private updatedAt: Milliseconds,
  ) {}

  /** Sets how many slots are busy from now on. */
  setBusy(slots: number, now: Milliseconds): void {
    this.settle(now);
    this.busySlots = slots;
  }

  complete(now: Milliseconds): void {
    this.settle(now);
    this.completions += 1;
  }

  /**
   * Completions per slot-millisecond.
   * @param prior rate assumed without observations
   * @param priorMs weight of that rate, in slot-milliseconds
   */
  rate(prior: number, priorMs: Milliseconds, now: Milliseconds): number {
    this.settle(now);
    return (this.completions + prior * priorMs) / (this.busyMs + priorMs);
  }

  private settle(now: Milliseconds): void {
    const elapsed = now - this.updatedAt;
    if (elapsed <= 0) {
      return;
    }
    const decay = Math.exp(-elapsed / this.windowMs);
    this.completions *= decay;
    this.busyMs =
      this.busyMs * decay + this.busySlots * this.windowMs * (1 - decay);
    this.updatedAt = now;
  }
}
