/** What callers got of what they asked for. */

import {max, mean, sum} from 'd3-array';
import type {Milliseconds} from '../time/index.js';
import type {RequestKind, Scenario} from './scenario.js';
import {MS_PER_SECOND} from './scenario.js';

/** Length of the windows of which the two worst count most. */
const CREDIT_WINDOW_MS: Milliseconds = 2_000;
const WORST_WINDOW_COUNT = 2;
/** Weights of the parts, as the users gave them. */
const WEIGHTS = {windows: 0.4, day: 0.28, served: 0.2, worstKind: 0.12};
/** Cost of a request that came back after a refusal and got no answer. */
const REPEATED_REFUSAL_COST = 0.3;

/** A caller's request over all its attempts. */
export interface CallerRequest {
  readonly kind: RequestKind;
  readonly firstSentAt: Milliseconds;
  refusals: number;
  /** When it was answered; undefined while it isn't. */
  answeredAt: Milliseconds | undefined;
}

export interface Costs {
  probes: number;
  farKilobytes: number;
}

export interface Score {
  readonly worth: number;
  readonly day: number;
  readonly worstWindows: number;
  readonly served: number;
  readonly worstKind: number;
  readonly prices: number;
  readonly probesPerRequest: number;
  readonly inTime: number;
  readonly late: number;
}

export function scoreOf(
  scenario: Scenario,
  demands: readonly CallerRequest[],
  costs: Costs,
): Score {
  const owed = sum(demands, ({kind}) => kind.credit);
  const prices =
    (scenario.prices.probe * costs.probes +
      scenario.prices.far_kilobyte * costs.farKilobytes +
      sum(demands, repeatedRefusalCost)) /
    owed;
  const day = creditShare(demands);
  const worstWindows = worstWindowShare(demands);
  const served = mean(demands, one => Number(isServed(one))) ?? 0;
  const kinds = scenario.kinds.map(kind =>
    creditShare(demands.filter(one => one.kind === kind)),
  );
  const worstKind = kinds.reduce((least, one) => Math.min(least, one), 1);
  const credit =
    WEIGHTS.windows * worstWindows +
    WEIGHTS.day * day +
    WEIGHTS.served * served +
    WEIGHTS.worstKind * worstKind;
  return {
    worth: credit - prices,
    day,
    worstWindows,
    served,
    worstKind,
    prices,
    probesPerRequest: costs.probes / demands.length,
    inTime: mean(demands, one => Number(isInTime(one))) ?? 0,
    late: mean(demands, one => Number(isServed(one) && !isInTime(one))) ?? 0,
  };
}

/** Credit by second, as a share of what was owed. */
export function creditBySecond(
  demands: readonly CallerRequest[],
): readonly number[] {
  const last = max(demands, ({firstSentAt: firstAt}) => firstAt) ?? 0;
  const seconds = Math.floor(last / MS_PER_SECOND) + 1;
  return Array.from({length: seconds}, (_, second) =>
    creditShare(
      demands.filter(
        ({firstSentAt: firstAt}) =>
          Math.floor(firstAt / MS_PER_SECOND) === second,
      ),
    ),
  );
}

function worstWindowShare(demands: readonly CallerRequest[]): number {
  const windows = new Map<number, CallerRequest[]>();
  for (const one of demands) {
    const window = Math.floor(one.firstSentAt / CREDIT_WINDOW_MS);
    windows.set(window, [...(windows.get(window) ?? []), one]);
  }
  const shares = [...windows.values()].map(creditShare).sort((a, b) => a - b);
  return mean(shares.slice(0, WORST_WINDOW_COUNT)) ?? 0;
}

function creditShare(demands: readonly CallerRequest[]): number {
  const owed = sum(demands, ({kind}) => kind.credit);
  return owed > 0 ? sum(demands, creditOf) / owed : 1;
}

function creditOf(demand: CallerRequest): number {
  if (!isServed(demand)) {
    return 0;
  }
  const {kind} = demand;
  return isInTime(demand) ? kind.credit : kind.late_credit;
}

function isServed({answeredAt}: CallerRequest): boolean {
  return answeredAt !== undefined;
}

function isInTime({
  answeredAt,
  firstSentAt: firstAt,
  kind,
}: CallerRequest): boolean {
  return answeredAt !== undefined && answeredAt - firstAt <= kind.target_ms;
}

function repeatedRefusalCost(demand: CallerRequest): number {
  return demand.refusals > 1 && !isServed(demand)
    ? REPEATED_REFUSAL_COST * demand.kind.credit
    : 0;
}
