/**
 * Estimates how many hosts the fleet has, for budgets that all of them share.
 *
 * Counted along the distribution tree: each host reports the size of its
 * subtree, and the reader announces the total. A count that is too low would
 * let the fleet exceed its budgets, so the largest of the last minute or two
 * holds: while a data centre is partitioned, or half of the hosts restart, each
 * host keeps to its share of the whole. A fleet that has shrunk for good spends
 * less than it may until then.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import {JOIN_SETTLE_MS, SIZE_PERIOD_MS, START_SETTLE_MS} from './constants.js';
import type {Heartbeat} from './types.js';

export class FleetSize {
  private currentMax = 0;
  private previousMax = 0;
  private periodEnd: Milliseconds;
  private settledAt: Milliseconds;

  constructor(private readonly clock: Clock) {
    this.settledAt = clock.now() + START_SETTLE_MS;
    this.periodEnd = clock.now() + SIZE_PERIOD_MS;
  }

  observe(count: number): void {
    this.rotatePeriods();
    this.currentMax = Math.max(this.currentMax, count);
  }

  /** Applies the count that the parent announces. */
  applyHeartbeat({hosts, isCounted}: Heartbeat): void {
    this.observe(hosts);
    if (isCounted) {
      this.settleWithin(JOIN_SETTLE_MS);
    }
  }

  /** The largest recent count; 0 before the first. */
  get estimate(): number {
    this.rotatePeriods();
    return Math.max(this.currentMax, this.previousMax);
  }

  /** The same; 0 until a starting fleet has been counted. */
  get settledEstimate(): number {
    return this.isSettled ? this.estimate : 0;
  }

  get isSettled(): boolean {
    return this.clock.now() >= this.settledAt;
  }

  /** The count is reliable after this time at the latest. */
  settleWithin(inMs: Milliseconds): void {
    this.settledAt = Math.min(this.settledAt, this.clock.now() + inMs);
  }

  private rotatePeriods(): void {
    const now = this.clock.now();
    while (now >= this.periodEnd) {
      this.previousMax = this.currentMax;
      this.currentMax = 0;
      this.periodEnd += SIZE_PERIOD_MS;
    }
  }
}
