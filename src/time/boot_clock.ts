/**
 * A clock that also counts the time in which the machine was suspended, as far as the
 * wall clock shows it. The monotonic clock leaves that time out.
 */

import type {Clock, Milliseconds} from './clock.js';

/** The wall clock runs ahead by less when it is adjusted gradually. */
const MIN_SUSPENSION_MS: Milliseconds = 200;

export class BootClock implements Clock {
  private suspendedMs: Milliseconds = 0;
  /** By how much the wall clock was ahead of the monotonic one at the last reading. */
  private offsetMs: Milliseconds | undefined;

  constructor(
    private readonly monotonicClock: Clock,
    private readonly wallClock: Clock,
  ) {}

  now(): Milliseconds {
    const now = this.monotonicClock.now();
    const offsetMs = this.wallClock.now() - now;
    const aheadMs = offsetMs - (this.offsetMs ?? offsetMs);
    if (aheadMs > MIN_SUSPENSION_MS) {
      this.suspendedMs += aheadMs;
    }
    this.offsetMs = offsetMs;
    return now + this.suspendedMs;
  }
}
