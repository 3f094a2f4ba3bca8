/**
 * Decides when a host appends a checkpoint of the configuration to the log.
 *
 * The log's retention is limited: it drops the records that make up the
 * configuration, and without a checkpoint a host that starts later could not
 * rebuild it. Any host may append one; each waits for the interval plus random
 * jitter and skips its turn if another was first, so that a fleet appends about
 * one per interval. Two at a time, or a late one from a paused host, do no
 * harm: see Replay.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';

/** Longest random delay, as a share of the interval. */
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

  /** Whether to append a checkpoint now. */
  get isDue(): boolean {
    return this.clock.now() >= this.dueAt;
  }

  /** Restarts the interval: some host appended a checkpoint. */
  noteCheckpoint(): void {
    this.dueAt = this.nextDueTime();
  }

  private nextDueTime(): Milliseconds {
    const delay = this.intervalMs * (1 + this.random() * MAX_JITTER);
    return this.clock.now() + delay;
  }
}
