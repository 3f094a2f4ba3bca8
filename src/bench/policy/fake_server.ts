/** A simulated upstream with slots, a queue and a variable speed. */

import type {Milliseconds} from '../../time/index.js';
import type {EventSimulator} from './event_simulator.js';

export interface Job {
  /** Work left: its run time at speed 1. */
  remaining: Milliseconds;
  readonly finish: (ok: boolean) => void;
}

export class FakeServer {
  speed = 1;
  /** Responds to all requests with an error at once. */
  failing = false;
  /** Reports zero load whatever its load is. */
  reportsZeroLoad = false;
  /** Refuses connections. */
  stopped = false;
  private running: Job[] = [];
  private queue: Job[] = [];
  private advancedAt: Milliseconds = 0;
  private completionTimerId = 0;

  constructor(
    readonly name: string,
    readonly slots: number,
    readonly dataCentre: number,
    private readonly simulator: EventSimulator,
  ) {}

  get load(): number {
    return this.running.length + this.queue.length;
  }

  get reportedLoad(): number {
    return this.reportsZeroLoad ? 0 : this.load;
  }

  get freeSlots(): number {
    return this.slots - this.load;
  }

  submit(job: Job): void {
    if (this.failing || this.stopped) {
      job.finish(false);
      return;
    }
    this.advanceJobs();
    if (this.running.length < this.slots) {
      this.running.push(job);
    } else {
      this.queue.push(job);
    }
    this.scheduleCompletion();
  }

  cancel(job: Job): void {
    this.advanceJobs();
    this.running = this.running.filter(one => one !== job);
    this.queue = this.queue.filter(one => one !== job);
    this.startQueued();
    this.scheduleCompletion();
  }

  setSpeed(speed: number): void {
    this.advanceJobs();
    this.speed = speed;
    this.scheduleCompletion();
  }

  private advanceJobs(): void {
    const worked = (this.simulator.now - this.advancedAt) * this.speed;
    this.advancedAt = this.simulator.now;
    this.running.forEach(job => {
      job.remaining -= worked;
    });
  }

  private startQueued(): void {
    while (this.running.length < this.slots) {
      const next = this.queue.shift();
      if (!next) {
        return;
      }
      this.running.push(next);
    }
  }

  private scheduleCompletion(): void {
    this.completionTimerId += 1;
    if (this.running.length === 0) {
      return;
    }
    const {completionTimerId} = this;
    const least = Math.min(...this.running.map(job => job.remaining));
    this.simulator.after(Math.max(0, least / this.speed), () => {
      if (completionTimerId === this.completionTimerId) {
        this.completeDue();
      }
    });
  }

  private completeDue(): void {
    this.advanceJobs();
    const due = this.running.filter(job => job.remaining <= 1e-9);
    this.running = this.running.filter(job => !due.includes(job));
    this.startQueued();
    this.scheduleCompletion();
    due.forEach(job => job.finish(true));
  }
}
