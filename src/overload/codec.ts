/** Converts the demand for a service to and from the bodies of datagrams. */

import {isName, isTime} from '../datagrams/index.js';
import type {
  CustomerDemand,
  ServiceDemand,
} from '../decisions/overload/index.js';
import {MAX_CUSTOMERS, MAX_LEVELS} from '../decisions/overload/index.js';

/** The listed customers and the aggregate of the others, at each level. */
const MAX_ROWS = (MAX_CUSTOMERS + 1) * MAX_LEVELS;
/** Index of the aggregate in place of a customer's. */
const AGGREGATE = -1;

/** Order of the sums in a message. */
const TOTALS = [
  'placed',
  'placements',
  'noRoom',
  'urgentNoRoom',
  'refusals',
] as const;

type Row = readonly [
  level: number,
  customer: number,
  inTime: number,
  late: number,
  sketch: number,
];

/** Names are sent once, since a customer has a row for each of its levels. */
export function encodeDemand(demand: ServiceDemand): unknown {
  const {service, customers} = demand;
  const listed = customers.flatMap(({customer}) => customer ?? []);
  const names = [...new Set(listed)];
  const rows = customers.map((one): Row => [
    one.level,
    one.customer === undefined ? AGGREGATE : names.indexOf(one.customer),
    Math.round(one.inTime),
    Math.round(one.late),
    one.sketch,
  ]);
  const totals = TOTALS.map(field => Math.round(demand[field]));
  return [service, totals, names, rows];
}

/** Undefined for a body that no host of this version sends. */
export function decodeDemand(body: unknown): ServiceDemand | undefined {
  const [service, totals, names, rows] = listOf(body);
  const [placed, placements, noRoom, urgentNoRoom, refusals] = listOf(totals);
  const isValid =
    isName(service) &&
    isTime(placed) &&
    isTime(placements) &&
    isTime(noRoom) &&
    isTime(urgentNoRoom) &&
    isTime(refusals) &&
    Array.isArray(names) &&
    names.length <= MAX_CUSTOMERS &&
    names.every(isName) &&
    Array.isArray(rows) &&
    rows.length <= MAX_ROWS;
  if (!isValid) {
    return undefined;
  }
  const customers: CustomerDemand[] = [];
  for (const row of rows) {
    const customer = decodeRow(row, names);
    if (!customer) {
      return undefined;
    }
    customers.push(customer);
  }
  return {
    service,
    placed,
    placements,
    noRoom,
    urgentNoRoom,
    refusals,
    customers,
  };
}

function decodeRow(
  row: unknown,
  names: readonly string[],
): CustomerDemand | undefined {
  const [level, index, inTime, late, sketch] = listOf(row);
  const isValid =
    isTime(level) &&
    isIndex(index, names) &&
    isTime(inTime) &&
    isTime(late) &&
    isTime(sketch);
  return isValid
    ? {level, customer: names[index], inTime, late, sketch}
    : undefined;
}

function isIndex(value: unknown, names: readonly string[]): value is number {
  return value === AGGREGATE || (isTime(value) && value in names);
}

function listOf(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}
