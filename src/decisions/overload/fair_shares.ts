/** Shares capacity max-min fairly: small demands in full, the others equally. */

import {countCustomers} from './customer_sketch.js';
import type {CustomerDemand} from './demand.js';
import {totalOf} from './demand.js';

/** Share of a customer's requests that are admitted. */
export interface CustomerShare {
  /** Undefined for all customers that aren't listed on their own. */
  readonly customer: string | undefined;
  readonly inTime: number;
  readonly late: number;
}

/** @param capacity to share, in the unit of the demands */
export function fairShares(
  demands: readonly CustomerDemand[],
  capacity: number,
): readonly CustomerShare[] {
  const equal = equalShare(demands, capacity);
  return demands.map(demand => {
    const {customer, inTime, late} = demand;
    const granted = equal * weightOf(demand);
    return {
      customer,
      inTime: portion(granted, inTime),
      late: portion(granted - inTime, late),
    };
  });
}

/** Largest amount that each customer may get without exceeding the capacity. */
function equalShare(
  demands: readonly CustomerDemand[],
  capacity: number,
): number {
  const perCustomer = (one: CustomerDemand): number =>
    totalOf(one) / weightOf(one);
  const ascending = [...demands].sort(
    (a, b) => perCustomer(a) - perCustomer(b),
  );
  let left = Math.max(0, capacity);
  let weight = ascending.reduce((sum, one) => sum + weightOf(one), 0);
  for (const demand of ascending) {
    if (perCustomer(demand) * weight > left) {
      return left / weight;
    }
    left -= totalOf(demand);
    weight -= weightOf(demand);
  }
  return Infinity;
}

function weightOf({customer, sketch}: CustomerDemand): number {
  return customer === undefined ? countCustomers(sketch) : 1;
}

function portion(granted: number, wanted: number): number {
  if (granted <= 0) {
    return 0;
  }
  return wanted > granted ? granted / wanted : 1;
}
