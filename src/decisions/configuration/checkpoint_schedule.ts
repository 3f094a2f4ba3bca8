/**
 * When a host appends the configuration again.
 *
 * Answers limited retention: the records that made the configuration fall out
 * of the log, and a host that starts later would find nothing to stand on. Any
 * host may append; each waits a drawn delay first and lets be if another was
 * quicker, so that a fleet appends about one per interval. Two, or a late one
 * of a paused host, do no harm: see Replay.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';

/** Longest drawn delay as a share of the interval. */
const MAX_JITTER = 0.25;

export class CheckpointSchedule {
  private dueAt: Milliseconds;

  constructor(
    private readonly intervalMs: Milliseconds,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.dueAt = this.nextDueTime();
  }

  /** Whether to append one now. */
  get isDue(): boolean {
    return this.clock.now() >= this.dueAt;
  }

  /** A checkpoint is on the log, whoever appended it. */
  noteCheckpoint(): void {
    this.dueAt = this.nextDueTime();
  }

  private nextDueTime(): Milliseconds {
    const delay = this.intervalMs * (1 + this.random() * MAX_JITTER);
    return this.clock.now() + delay;
  }
}
