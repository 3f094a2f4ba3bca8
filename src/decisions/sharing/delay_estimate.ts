/**
 * Tells how much longer than usual a message was under way.
 *
 * Answers a host that was frozen, or a link that was cut for a moment: messages
 * that have queued meanwhile arrive at once and look fresh. Hosts' clocks have
 * different starts, so that only the shortest way seen of late tells what is
 * usual; what took longer is older by the difference.
 */

import type {Milliseconds} from '../../time/index.js';

/** Time after which an old shortest way no longer counts. */
const WINDOW_MS: Milliseconds = 10_000;

export class DelayEstimate {
  private windowEnd: Milliseconds = -Infinity;
  private shortest = Infinity;
  private shortestBefore = Infinity;

  /** @returns time beyond the usual way */
  observe(sentAt: Milliseconds, receivedAt: Milliseconds): Milliseconds {
    const way = receivedAt - sentAt;
    if (receivedAt > this.windowEnd) {
      this.windowEnd = receivedAt + WINDOW_MS;
      this.shortestBefore = this.shortest;
      this.shortest = Infinity;
    }
    this.shortest = Math.min(this.shortest, way);
    return way - Math.min(this.shortest, this.shortestBefore);
  }
}
