/** A fake upstream: slots, a queue and a speed that changes. */

import type {Milliseconds} from '../../time/index.js';
import type {World} from './world.js';

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
  lying = false;
  /** Takes no connection. */
  stopped = false;
  private running: Job[] = [];
  private queue: Job[] = [];
  private settledAt: Milliseconds = 0;
  private plan = 0;

  constructor(
    readonly name: string,
    readonly slots: number,
    readonly dataCentre: number,
    private readonly world: World,
  ) {}

  get load(): number {
    return this.running.length + this.queue.length;
  }

  get reportedLoad(): number {
    return this.lying ? 0 : this.load;
  }

  get freeSlots(): number {
    return this.slots - this.load;
  }

  submit(job: Job): void {
    if (this.failing || this.stopped) {
      job.finish(false);
      return;
    }
    this.settle();
    if (this.running.length < this.slots) {
      this.running.push(job);
    } else {
      this.queue.push(job);
    }
    this.planNext();
  }

  cancel(job: Job): void {
    this.settle();
    this.running = this.running.filter(one => one !== job);
    this.queue = this.queue.filter(one => one !== job);
    this.fill();
    this.planNext();
  }

  setSpeed(speed: number): void {
    this.settle();
    this.speed = speed;
    this.planNext();
  }

  private settle(): void {
    const worked = (this.world.now - this.settledAt) * this.speed;
    this.settledAt = this.world.now;
    this.running.forEach(job => {
      job.remaining -= worked;
    });
  }

  private fill(): void {
    while (this.running.length < this.slots) {
      const next = this.queue.shift();
      if (!next) {
        return;
      }
      this.running.push(next);
    }
  }

  private planNext(): void {
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
    this.settle();
    const due = this.running.filter(job => job.remaining <= 1e-9);
    this.running = this.running.filter(job => !due.includes(job));
    this.fill();
    this.planNext();
    due.forEach(job => job.finish(true));
  }
}
