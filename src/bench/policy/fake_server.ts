/** A fake upstream: slots, a queue and a speed that changes. */

import type {Milliseconds} from '../../time/index.js';
import type {EventSimulator} from './event_simulator.js';

export interface Job {
  /** Milliseconds it takes at speed 1. */
  remaining: Milliseconds;
  readonly finish: (ok: boolean) => void;
}

export class FakeServer {
  speed = 1;
  /** Answers errors at once. */
  failing = false;
  /** Reports no load whatever it has. */
  reportsZeroLoad = false;
  /** Takes no connection. */
  stopped = false;
  private running: Job[] = [];
  private queue: Job[] = [];
  private advancedAt: Milliseconds = 0;
  private plan = 0;

  constructor(
    readonly name: string,
    readonly slots: number,
    readonly dataCentre: number,
    private readonly world: EventSimulator,
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
    const worked = (this.world.now - this.advancedAt) * this.speed;
    this.advancedAt = this.world.now;
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
    this.plan += 1;
    if (this.running.length === 0) {
      return;
    }
    const {plan} = this;
    const least = Math.min(...this.running.map(job => job.remaining));
    this.world.after(Math.max(0, least / this.speed), () => {
      if (plan === this.plan) {
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
