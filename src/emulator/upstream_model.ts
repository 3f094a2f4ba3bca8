/** An upstream: slots, a queue, a knee, neighbours that make it slow. */

import TinyQueue from 'tinyqueue';
import type {LoadReport} from '../decisions/placement/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import type {EventLoop} from './event_loop.js';
import type {ServiceModel} from './scenario.js';

export type RunEnd = 'answered' | 'refused' | 'silent' | 'gone';

export interface Run {
  readonly workMs: Milliseconds;
  readonly onEnd: (end: RunEnd) => void;
  cancelled: boolean;
}

interface ActiveRun {
  readonly run: Run;
  readonly doneAt: Milliseconds;
}

export class UpstreamModel {
  /** How much slower than usual work that starts now is, in a slow spell. */
  slowFactor = 1;
  /** Share of requests that are refused though there is room. */
  shedProbability = 0;
  /** Share of answers that never come. */
  lossProbability = 0;
  private readonly active = new TinyQueue<ActiveRun>(
    [],
    (a, b) => a.doneAt - b.doneAt,
  );
  private readonly queue: Run[] = [];
  private noisy = false;
  private terminated = false;
  private plan = 0;

  constructor(
    readonly id: string,
    readonly dataCentre: number,
    readonly service: ServiceModel,
    private readonly loop: EventLoop,
    private readonly random: Random,
  ) {
    loop.after(random() * service.noise_interval_ms, () => this.drawNoise());
    this.noisy = random() < service.noise_share;
  }

  get isTerminated(): boolean {
    return this.terminated;
  }

  /** What it tells of its load; undefined where its service tells none. */
  loadReport(): LoadReport | undefined {
    if (!this.service.tells_load) {
      return undefined;
    }
    return {
      running: this.active.length,
      waiting: this.queue.length,
      slots: this.service.slots,
      slowness: this.slowness,
    };
  }

  /** A request arrives. */
  accept(run: Run): void {
    const {service} = this;
    if (this.terminated) {
      run.onEnd('gone');
    } else if (
      this.shedProbability > 0 &&
      this.random() < this.shedProbability
    ) {
      run.onEnd('refused');
    } else if (this.active.length < service.slots) {
      this.start(run);
    } else if (this.queue.length < service.queue) {
      this.queue.push(run);
    } else {
      run.onEnd(service.when_full === 'refuse' ? 'refused' : 'silent');
    }
  }

  /** Stops for good; what is at work is lost. */
  terminate(): void {
    this.terminated = true;
    const runs = [...this.active.data.map(({run}) => run), ...this.queue];
    this.active.data.length = 0;
    this.active.length = 0;
    this.queue.length = 0;
    runs.filter(run => !run.cancelled).forEach(run => run.onEnd('gone'));
  }

  /** The caller's side has closed its connection. */
  cancel(run: Run): void {
    run.cancelled = true;
    const queued = this.queue.indexOf(run);
    if (queued >= 0) {
      this.queue.splice(queued, 1);
      return;
    }
    const kept = this.active.data.filter(one => one.run !== run);
    if (kept.length < this.active.length) {
      this.active.data = [];
      this.active.length = 0;
      kept.forEach(one => this.active.push(one));
      this.startQueued();
    }
  }

  private get slowness(): number {
    return this.slowFactor * (this.noisy ? this.service.noise_slowness : 1);
  }

  /** How much slower a run is that starts now, since slots are short. */
  private get contentionFactor(): number {
    const {knee, knee_slowness, slots} = this.service;
    return this.active.length + 1 > knee * slots ? knee_slowness : 1;
  }

  private drawNoise(): void {
    this.noisy = this.random() < this.service.noise_share;
    this.loop.after(this.service.noise_interval_ms, () => this.drawNoise());
  }

  private start(run: Run): void {
    const workMs = run.workMs * this.slowness * this.contentionFactor;
    this.active.push({run, doneAt: this.loop.now() + workMs});
    this.scheduleCompletion();
  }

  private startQueued(): void {
    while (this.queue.length > 0 && this.active.length < this.service.slots) {
      const next = this.queue.shift();
      if (next) {
        this.start(next);
      }
    }
    this.scheduleCompletion();
  }

  private scheduleCompletion(): void {
    this.plan += 1;
    const {plan} = this;
    const next = this.active.peek();
    if (next) {
      this.loop.after(next.doneAt - this.loop.now(), () =>
        this.completeNext(plan),
      );
    }
  }

  private completeNext(plan: number): void {
    if (plan !== this.plan) {
      return;
    }
    const done = this.active.pop();
    this.startQueued();
    if (done) {
      const isLost =
        this.lossProbability > 0 && this.random() < this.lossProbability;
      done.run.onEnd(isLost ? 'silent' : 'answered');
    }
  }
}
