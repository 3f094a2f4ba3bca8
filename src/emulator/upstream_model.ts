/** An upstream with slots, a queue, contention and noisy neighbours. */

import TinyQueue from 'tinyqueue';
import type {LoadReport} from '../decisions/placement/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import type {EventLoop} from './event_loop.js';
import type {ServiceModel} from './scenario.js';

export type RunEnd = 'answered' | 'refused' | 'silent' | 'reset' | 'gone';

/** What becomes of a request that a full upstream doesn't take. */
const ENDS_WHEN_FULL: Readonly<Record<ServiceModel['when_full'], RunEnd>> = {
  refuse: 'refused',
  silent: 'silent',
  reset: 'reset',
};

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
  /** Factor on the run time of work that starts now; set by slow_upstreams. */
  slowFactor = 1;
  /** Share of requests that are refused although there is capacity. */
  shedProbability = 0;
  /** Share of responses that are lost. */
  lossProbability = 0;
  private readonly active = new TinyQueue<ActiveRun>(
    [],
    (a, b) => a.doneAt - b.doneAt,
  );
  private readonly queue: Run[] = [];
  private noisy = false;
  private terminated = false;
  private completionTimerId = 0;

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

  /** Undefined if its service reports no load. */
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
      run.onEnd(ENDS_WHEN_FULL[service.when_full]);
    }
  }

  /** Stops permanently; running and queued requests are lost. */
  terminate(): void {
    this.terminated = true;
    const runs = [...this.active.data.map(({run}) => run), ...this.queue];
    this.active.data.length = 0;
    this.active.length = 0;
    this.queue.length = 0;
    runs.filter(run => !run.cancelled).forEach(run => run.onEnd('gone'));
  }

  /** Called when the host closes the connection of a request. */
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

  /** Factor on the run time of a run that starts beyond the knee. */
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
    this.completionTimerId += 1;
    const {completionTimerId} = this;
    const next = this.active.peek();
    if (next) {
      this.loop.after(next.doneAt - this.loop.now(), () =>
        this.completeNext(completionTimerId),
      );
    }
  }

  private completeNext(timerId: number): void {
    if (timerId !== this.completionTimerId) {
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
