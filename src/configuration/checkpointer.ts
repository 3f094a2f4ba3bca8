/** Appends the configuration to the log again before it would be dropped. */

import type {Logger} from 'pino';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import {CheckpointSchedule} from '../decisions/configuration/index.js';
import type {SeatState} from '../decisions/membership/index.js';
import type {LogService} from '../log_service/index.js';
import type {LogFollower} from './log_follower.js';

const CHECK_INTERVAL_MS: Milliseconds = 1_000;

export interface CheckpointerOptions {
  readonly host: string;
  readonly seats: () => readonly SeatState[];
  readonly intervalMs: Milliseconds;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export class Checkpointer {
  private readonly schedule: CheckpointSchedule;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly log: LogService,
    private readonly follower: LogFollower,
    private readonly options: CheckpointerOptions,
  ) {
    const {intervalMs, clock, random} = options;
    this.schedule = new CheckpointSchedule(intervalMs, clock, random);
  }

  start(): void {
    this.timer = setInterval(() => void this.appendIfDue(), CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Notes checkpoints of all hosts as the log tells of them. */
  onCheckpoint(): void {
    this.schedule.noteCheckpoint();
  }

  /** Appends a checkpoint if one is due and this host knows all there is. */
  async appendIfDue(): Promise<void> {
    if (!this.schedule.isDue || !this.follower.isComplete) {
      return;
    }
    this.schedule.noteCheckpoint();
    const snapshot = this.follower.snapshot();
    const {host, seats} = this.options;
    const record = {kind: 'checkpoint', host, snapshot, seats: seats()};
    const appended = await this.log.append(JSON.stringify(record));
    if (appended.isErr()) {
      const failure = appended.error;
      this.options.logger.warn({failure}, 'checkpoint not appended');
    }
  }
}
