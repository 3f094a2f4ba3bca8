/**
 * Pauses between snapshots of one topic. A store whose log can't be read right after a
 * snapshot would otherwise be read in a tight loop.
 */

import type {Milliseconds} from '../../time/index.js';

export class ReloadPace {
  /** Snapshots since a page of the log was last read to its end. */
  private reloads = 0;

  /** @param intervalMs pause before each snapshot that follows another */
  constructor(private readonly intervalMs: Milliseconds) {}

  /** A snapshot is needed. */
  noteReload(): Milliseconds {
    const pauseMs = this.reloads > 0 ? this.intervalMs : 0;
    this.reloads += 1;
    return pauseMs;
  }

  /** @param isSnapshot a snapshot alone doesn't show that the log can be read */
  noteCaughtUp(isSnapshot: boolean): void {
    this.reloads = isSnapshot ? this.reloads : 0;
  }
}
