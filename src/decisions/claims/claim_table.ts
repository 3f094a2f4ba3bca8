/**
 * Who may run which order, derived from the log.
 *
 * Answers the doubled order: a caller that heard nothing sends the same order
 * again through another entry host, and both would hand it to an upstream. The
 * claim with the lowest offset has the right to send. That right never passes
 * to another host while the window lasts, so a claimant that is paused and
 * comes back does no harm, and no lease has to be fenced at the upstream.
 */

import type {Offset} from '../configuration/index.js';
import type {Milliseconds} from '../../time/index.js';
import type {OrderKey, OrderState, OrdersRecord} from './types.js';

export class ClaimTable {
  /** In order of their claims. */
  private readonly orders = new Map<OrderKey, OrderState>();
  private coveredSince: Milliseconds = Infinity;
  private logTime: Milliseconds = -Infinity;
  private next: Offset = 0;

  constructor(
    /** Time for which a claim holds, by the log's clock. */
    private readonly windowMs: Milliseconds,
  ) {}

  get size(): number {
    return this.orders.size;
  }

  /**
   * Whether every claim in the window is known here. It is not after a start
   * from a log that has dropped records younger than the window: a key that
   * looks new may have been claimed in what was dropped.
   */
  get coversWindow(): boolean {
    return this.coveredSince <= this.logTime - this.windowMs;
  }

  get(key: OrderKey): OrderState | undefined {
    return this.orders.get(key);
  }

  /** Notes a record's place; a gap before it starts the coverage anew. */
  advance(offset: Offset, appendedAt: Milliseconds): void {
    if (offset === 0) {
      this.coveredSince = -Infinity;
    } else if (offset > this.next) {
      this.orders.clear();
      this.coveredSince = appendedAt;
    }
    this.next = Math.max(this.next, offset + 1);
    this.logTime = Math.max(this.logTime, appendedAt);
    this.expire();
  }

  apply(record: OrdersRecord, appendedAt: Milliseconds): void {
    for (const {key, fingerprint, nonce} of record.claims) {
      if (!this.orders.has(key)) {
        this.orders.set(key, {fingerprint, nonce, claimedAt: appendedAt});
      }
    }
    for (const {key, nonce, result} of record.settlements) {
      const order = this.orders.get(key);
      // Another claim's settlement, late or doubled, must not touch this one.
      if (order?.nonce === nonce) {
        this.settle(key, order, result);
      }
    }
  }

  private settle(
    key: OrderKey,
    order: OrderState,
    result: NonNullable<OrderState['result']>,
  ): void {
    if (result.kind === 'released') {
      this.orders.delete(key);
    } else if (!order.result) {
      this.orders.set(key, {...order, result});
    }
  }

  private expire(): void {
    for (const [key, {claimedAt}] of this.orders) {
      if (claimedAt > this.logTime - this.windowMs) {
        return;
      }
      this.orders.delete(key);
    }
  }
}
