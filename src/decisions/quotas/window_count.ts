/** Counts events so that any time span of a given length has at most so many. */

import type {Milliseconds} from '../../time/index.js';

export class WindowCount {
  private times: Milliseconds[] = [];

  constructor(private readonly spanMs: Milliseconds) {}

  take(wanted: number, limit: number, now: Milliseconds): number {
    this.times = this.times.filter(at => at > now - this.spanMs);
    const free = Math.floor(limit) - this.times.length;
    const taken = Math.max(0, Math.min(wanted, free));
    for (let i = 0; i < taken; i += 1) {
      this.times.push(now);
    }
    return taken;
  }

  /** Time until the earliest event leaves the span; 0 without any. */
  waitMs(now: Milliseconds): Milliseconds {
    const [first] = this.times;
    return first === undefined ? 0 : Math.max(0, first + this.spanMs - now);
  }

  isEmpty(now: Milliseconds): boolean {
    return (this.times.at(-1) ?? -Infinity) <= now - this.spanMs;
  }
}
