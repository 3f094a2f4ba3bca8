/**
 * How many hosts the fleet has, for budgets that all of them share.
 *
 * Counted along the way that news take: each host counts those that hear by it,
 * the reader tells all. A count that is too low would let the fleet spend more
 * than its budget, so the largest of the last minute or two holds: while a data
 * centre is cut off, or half of the hosts restart, each goes on with its part of
 * the whole. A fleet that has shrunk for good spends less than it may until then.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import {JOIN_SETTLE_MS, START_SETTLE_MS, SIZE_PERIOD_MS} from './constants.js';
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

  /** Takes in what the host that is followed tells. */
  applyHeartbeat({hosts, isCounted}: Heartbeat): void {
    this.observe(hosts);
    if (isCounted) {
      this.settleWithin(JOIN_SETTLE_MS);
    }
  }

  /** The largest count of late; 0 while nothing was counted. */
  get estimate(): number {
    this.rotatePeriods();
    return Math.max(this.currentMax, this.previousMax);
  }

  /** The same; 0 until a fleet that starts has been counted. */
  get settledEstimate(): number {
    return this.isSettled ? this.estimate : 0;
  }

  get isSettled(): boolean {
    return this.clock.now() >= this.settledAt;
  }

  /** What was counted is right in a while, and from then on. */
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
