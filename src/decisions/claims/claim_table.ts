/**
 * Which claim may run which order, derived from the log.
 *
 * Prevents duplicate execution: a caller that gets no response retries the
 * same order through another entry host, and both hosts would send it to an
 * upstream. The claim with the lowest offset may send. During the claim window
 * only its own host can release it, so a claimant that resumes after a pause
 * does no harm, and upstreams need no fencing tokens.
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
    /** How long a claim is valid, by the log's clock. */
    private readonly windowMs: Milliseconds,
  ) {}

  get size(): number {
    return this.orders.size;
  }

  /**
   * Whether every claim in the window is known here. False after a start from a
   * log that has dropped records younger than the window: a key that looks new
   * may have been claimed in one of them.
   */
  get coversWindow(): boolean {
    return this.coveredSince <= this.logTime - this.windowMs;
  }

  get(key: OrderKey): OrderState | undefined {
    return this.orders.get(key);
  }

  /** Advances past a record; a gap before it resets the coverage. */
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
      // Ignores a late or duplicate settlement of another claim.
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
