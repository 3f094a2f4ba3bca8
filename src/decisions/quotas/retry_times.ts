/**
 * Tells each refused request of a customer another time at which to come back: the
 * times at which its next tokens are due. They aren't reserved.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';

export class RetryTimes {
  private readonly lastTimes = new Map<string, Milliseconds>();

  /** @param maxMs longest time that is told */
  constructor(
    private readonly maxMs: Milliseconds,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * @param count of refused requests
   * @param waitMs until the customer's next token
   * @param intervalMs between its tokens
   * @returns when the first of them may come back
   */
  take(
    customer: string,
    count: number,
    waitMs: Milliseconds,
    intervalMs: Milliseconds,
  ): Milliseconds {
    const now = this.clock.now();
    const last = this.lastTimes.get(customer) ?? -Infinity;
    const next = Math.max(now + waitMs, last + intervalMs);
    if (next > now + this.maxMs) {
      // Callers that gave up leave gaps: starts again within the time told before.
      return this.maxMs * (0.5 + this.random() / 2);
    }
    this.lastTimes.set(customer, next + (count - 1) * intervalMs);
    return next - now;
  }

  prune(): void {
    const now = this.clock.now();
    for (const [customer, at] of this.lastTimes) {
      if (at < now) {
        this.lastTimes.delete(customer);
      }
    }
  }
}
