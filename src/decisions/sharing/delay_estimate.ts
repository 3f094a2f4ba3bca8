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
  private windowEndsAt: Milliseconds = -Infinity;
  private minTransitMs = Infinity;
  private previousMinTransitMs = Infinity;

  /** @returns time beyond the usual way */
  observe(sentAt: Milliseconds, receivedAt: Milliseconds): Milliseconds {
    const way = receivedAt - sentAt;
    if (receivedAt > this.windowEndsAt) {
      this.windowEndsAt = receivedAt + WINDOW_MS;
      this.previousMinTransitMs = this.minTransitMs;
      this.minTransitMs = Infinity;
    }
    this.minTransitMs = Math.min(this.minTransitMs, way);
    return way - Math.min(this.minTransitMs, this.previousMinTransitMs);
  }
}
