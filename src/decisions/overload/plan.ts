/** The plan that all hosts admit requests of a service by. */

import type {Milliseconds} from '../../time/index.js';
import type {CustomerDemand, ServiceDemand} from './demand.js';
import {offeredOf, totalOf} from './demand.js';
import type {CustomerShare} from './fair_shares.js';
import {fairShares} from './fair_shares.js';

/**
 * - `watching`: all hosts report their demand, and admit everything
 * - `shedding`: hosts admit requests by the shares
 * - `ended`: no more reports
 */
export type PlanPhase = 'watching' | 'shedding' | 'ended';

/** Levels below the cut-off are admitted, levels above it are shed. */
export interface AdmissionShares {
  /** Null if everything is admitted. */
  readonly cutOffLevel: number | null;
  /** Shares of customers at the cut-off level. */
  readonly customers: readonly CustomerShare[];
}

export interface AdmissionPlan extends AdmissionShares {
  readonly service: string;
  readonly phase: PlanPhase;
  /** Host that computed it. */
  readonly planner: string;
  /** Increases with each plan of that host. */
  readonly sequence: number;
  /** Age when it was sent. */
  readonly ageMs: Milliseconds;
  /** Time since the overload began. */
  readonly overloadMs: Milliseconds;
  /** Work that may be admitted, in ms of work per second. */
  readonly capacity: number;
  /** Work asked for, in ms of work per second. */
  readonly offered: number;
}

export const NOTHING_SHED: AdmissionShares = {cutOffLevel: null, customers: []};

/** Admits levels in order of urgency until the capacity is used. */
export function planShares(
  demand: ServiceDemand,
  capacity: number,
): AdmissionShares {
  if (offeredOf(demand) <= capacity) {
    return NOTHING_SHED;
  }
  const byLevel = groupByLevel(demand.customers);
  let left = capacity;
  for (const level of [...byLevel.keys()].sort((a, b) => a - b)) {
    const rows = byLevel.get(level) ?? [];
    const wanted = rows.reduce((sum, one) => sum + totalOf(one), 0);
    if (wanted > left) {
      return {cutOffLevel: level, customers: fairShares(rows, left)};
    }
    left -= wanted;
  }
  return NOTHING_SHED;
}

/** Share of such requests that is admitted. */
export function shareOf(
  {cutOffLevel, customers}: AdmissionShares,
  level: number,
  customer: string,
  isInTime: boolean,
): number {
  if (cutOffLevel === null || level < cutOffLevel) {
    return 1;
  }
  if (level > cutOffLevel) {
    return 0;
  }
  const share =
    customers.find(one => one.customer === customer) ??
    customers.find(one => one.customer === undefined);
  // A customer that asks for the first time is within any equal share.
  return share ? share[isInTime ? 'inTime' : 'late'] : 1;
}

function groupByLevel(
  rows: readonly CustomerDemand[],
): Map<number, CustomerDemand[]> {
  const byLevel = new Map<number, CustomerDemand[]>();
  rows.forEach(row =>
    byLevel.set(row.level, [...(byLevel.get(row.level) ?? []), row]),
  );
  return byLevel;
}
