/** Demand for a service, at one host or summed over several. */

import {mergeSketches, sketchOf} from './customer_sketch.js';

/** Work that the customers of one level ask for, in ms of work per second. */
export interface CustomerDemand {
  readonly level: number;
  /** Undefined for all customers that aren't listed on their own. */
  readonly customer: string | undefined;
  /** Requests that can still be answered within their target. */
  readonly inTime: number;
  readonly late: number;
  /** Sketch of the customers that are aggregated; 0 for a single one. */
  readonly sketch: number;
}

export interface ServiceDemand {
  readonly service: string;
  /** Work sent to upstreams, in ms of work per second. */
  readonly placed: number;
  /** Requests sent to upstreams within the measuring window. */
  readonly placements: number;
  /** Work refused for lack of capacity, in ms of work per second. */
  readonly noRoom: number;
  /** The part of it that the plan in force admits in full. */
  readonly urgentNoRoom: number;
  /** Requests refused for lack of capacity within the measuring window. */
  readonly refusals: number;
  readonly customers: readonly CustomerDemand[];
}

type Total = 'placed' | 'placements' | 'noRoom' | 'urgentNoRoom' | 'refusals';

/** Customers listed on their own; the others are aggregated. */
export const MAX_CUSTOMERS = 16;
/** Less urgent levels are merged into the last one. */
export const MAX_LEVELS = 12;

export function totalOf({
  inTime,
  late,
}: Pick<CustomerDemand, 'inTime' | 'late'>): number {
  return inTime + late;
}

export function offeredOf({customers}: ServiceDemand): number {
  return customers.reduce((sum, one) => sum + totalOf(one), 0);
}

/** Share of the work that was to be placed for which there was no capacity. */
export function noRoomShareOf({placed, noRoom}: ServiceDemand): number {
  return noRoom > 0 ? noRoom / (placed + noRoom) : 0;
}

/** Adds up demands for one service, with bounded numbers of customers and levels. */
export function sumDemands(
  service: string,
  demands: readonly ServiceDemand[],
): ServiceDemand {
  const sum = (field: Total): number =>
    demands.reduce((total, one) => total + one[field], 0);
  return {
    service,
    placed: sum('placed'),
    placements: sum('placements'),
    noRoom: sum('noRoom'),
    urgentNoRoom: sum('urgentNoRoom'),
    refusals: sum('refusals'),
    customers: boundCustomers(demands.flatMap(({customers}) => customers)),
  };
}

function boundCustomers(
  rows: readonly CustomerDemand[],
): readonly CustomerDemand[] {
  const lastLevel = lastListedLevel(rows);
  const largest = largestCustomers(rows);
  const byKey = new Map<string, CustomerDemand>();
  for (const row of rows) {
    const {customer} = row;
    const isListed = customer !== undefined && largest.has(customer);
    const level = Math.min(row.level, lastLevel);
    const added: CustomerDemand = isListed
      ? {...row, level}
      : {
          ...row,
          level,
          customer: undefined,
          sketch: customer === undefined ? row.sketch : sketchOf(customer),
        };
    const key = JSON.stringify([level, added.customer]);
    const known = byKey.get(key);
    byKey.set(key, known ? add(known, added) : added);
  }
  return [...byKey.values()];
}

function add(one: CustomerDemand, other: CustomerDemand): CustomerDemand {
  return {
    ...one,
    inTime: one.inTime + other.inTime,
    late: one.late + other.late,
    sketch: mergeSketches(one.sketch, other.sketch),
  };
}

function lastListedLevel(rows: readonly CustomerDemand[]): number {
  const levels = [...new Set(rows.map(({level}) => level))];
  return levels.sort((a, b) => a - b)[MAX_LEVELS - 1] ?? Infinity;
}

function largestCustomers(rows: readonly CustomerDemand[]): Set<string> {
  const totals = new Map<string, number>();
  for (const row of rows) {
    if (row.customer !== undefined) {
      const total = totals.get(row.customer) ?? 0;
      totals.set(row.customer, total + totalOf(row));
    }
  }
  return new Set(
    [...totals]
      .sort(([, a], [, b]) => b - a)
      .slice(0, MAX_CUSTOMERS)
      .map(([name]) => name),
  );
}
