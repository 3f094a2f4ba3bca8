/**
 * Estimates by how much the transit time of a message exceeds the usual one.
 *
 * While a host is frozen or a link is down, messages queue; then they arrive at once
 * and look fresh. Hosts' clocks have different origins, so that only the minimum recent
 * transit time shows what is usual; the excess is additional age of the message.
 */

import type {Milliseconds} from '../../time/index.js';

/** A minimum transit time is dropped after one to two such windows. */
const WINDOW_MS: Milliseconds = 10_000;

export class DelayEstimate {
  private windowEndsAt: Milliseconds = -Infinity;
  private minTransitMs = Infinity;
  private previousMinTransitMs = Infinity;

  /** @returns transit time beyond the usual */
  observe(sentAt: Milliseconds, receivedAt: Milliseconds): Milliseconds {
    const transitMs = receivedAt - sentAt;
    if (receivedAt > this.windowEndsAt) {
      this.windowEndsAt = receivedAt + WINDOW_MS;
      this.previousMinTransitMs = this.minTransitMs;
      this.minTransitMs = Infinity;
    }
    this.minTransitMs = Math.min(this.minTransitMs, transitMs);
    return transitMs - Math.min(this.minTransitMs, this.previousMinTransitMs);
  }
}
