/** Notices that this process stood still, or that its machine was suspended. */

import type {Clock, Milliseconds} from '../../time/index.js';
import {MAX_CLOCK_DRIFT_MS, MAX_PAUSE_MS} from './constants.js';

export type Pause = 'none' | 'stalled' | 'suspended';

export class PauseDetector {
  private last: {monotonicAt: Milliseconds; wallAt: Milliseconds} | undefined;

  /** @param wallClock counts suspensions, which the monotonic clock may leave out */
  constructor(
    private readonly clock: Clock,
    private readonly wallClock: Clock,
  ) {}

  /** Call it at least every 200 ms once it was called, and before time is relied upon. */
  check(): Pause {
    const monotonicAt = this.clock.now();
    const wallAt = this.wallClock.now();
    const last = this.last ?? {monotonicAt, wallAt};
    this.last = {monotonicAt, wallAt};
    const passedMs = monotonicAt - last.monotonicAt;
    const driftMs = wallAt - last.wallAt - passedMs;
    if (driftMs > MAX_CLOCK_DRIFT_MS) {
      return 'suspended';
    }
    return passedMs > MAX_PAUSE_MS ? 'stalled' : 'none';
  }
}
