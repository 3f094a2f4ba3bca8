/** Simulated time: runs events in their order, as fast as it can. */

import TinyQueue from 'tinyqueue';
import type {Clock, Milliseconds} from '../time/index.js';

interface ScheduledEvent {
  readonly at: Milliseconds;
  /** Events of the same moment run in the order in which they were planned. */
  readonly order: number;
  readonly run: () => void;
}

export class EventLoop implements Clock {
  private readonly queue = new TinyQueue<ScheduledEvent>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );
  private currentTime: Milliseconds = 0;
  private scheduledCount = 0;

  now(): Milliseconds {
    return this.currentTime;
  }

  after(delayMs: Milliseconds, run: () => void): void {
    this.scheduledCount += 1;
    const at = this.currentTime + Math.max(0, delayMs);
    this.queue.push({at, order: this.scheduledCount, run});
  }

  runUntil(end: Milliseconds): void {
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.at > end) {
        this.currentTime = end;
        return;
      }
      this.queue.pop();
      this.currentTime = next.at;
      next.run();
    }
  }
}
