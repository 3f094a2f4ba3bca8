/** A manual clock with an event queue: everything happens in its order. */

import TinyQueue from 'tinyqueue';
import type {Milliseconds, Random} from '../../time/index.js';
import {ManualClock, seededRandom} from '../../time/index.js';

interface Scheduled {
  readonly at: Milliseconds;
  readonly order: number;
  readonly run: () => void;
}

export class EventSimulator {
  readonly clock = new ManualClock();
  readonly random: Random;
  private readonly queue = new TinyQueue<Scheduled>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );
  private order = 0;

  constructor(seed: number) {
    this.random = seededRandom(seed);
  }

  get now(): Milliseconds {
    return this.clock.now();
  }

  after(delay: Milliseconds, run: () => void): void {
    this.order += 1;
    this.queue.push({at: this.now + delay, order: this.order, run});
  }

  /** Runs until nothing is left or the time is over. */
  run(until: Milliseconds): void {
    for (;;) {
      const next = this.queue.pop();
      if (!next || next.at > until) {
        return;
      }
      this.clock.set(next.at);
      next.run();
    }
  }

  /** Draws from an exponential distribution. */
  exponential(mean: number): number {
    return -Math.log(1 - this.random()) * mean;
  }
}
