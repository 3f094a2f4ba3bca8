/** Simulated time: runs events in their order, as fast as it can. */

import TinyQueue from 'tinyqueue';
import type {Clock, Milliseconds} from '../time/index.js';

interface Event {
  readonly at: Milliseconds;
  /** Events of the same moment run in the order in which they were planned. */
  readonly order: number;
  readonly run: () => void;
}

export class EventLoop implements Clock {
  private readonly queue = new TinyQueue<Event>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );
  private current: Milliseconds = 0;
  private planned = 0;

  now(): Milliseconds {
    return this.current;
  }

  after(delayMs: Milliseconds, run: () => void): void {
    this.planned += 1;
    const at = this.current + Math.max(0, delayMs);
    this.queue.push({at, order: this.planned, run});
  }

  runUntil(end: Milliseconds): void {
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.at > end) {
        this.current = end;
        return;
      }
      this.queue.pop();
      this.current = next.at;
      next.run();
    }
  }
}
