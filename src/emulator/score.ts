/** Scores a run by what callers received and what it cost. */

import {max, mean, sum} from 'd3-array';
import type {Milliseconds} from '../time/index.js';
import type {RequestKind, Scenario} from './scenario.js';
import {MS_PER_SECOND} from './scenario.js';

/** The two windows of this length with the least credit weigh most. */
const CREDIT_WINDOW_MS: Milliseconds = 2_000;
const WORST_WINDOW_COUNT = 2;
/** Weights of the parts of the score, as the users gave them. */
const WEIGHTS = {windows: 0.4, day: 0.28, served: 0.2, worstKind: 0.12};
/**
 * Cost of a request that is refused more than once and never answered, as a
 * share of its credit.
 */
const REPEATED_REFUSAL_COST = 0.3;

/** A caller's request with all its attempts. */
export interface CallerRequest {
  readonly kind: RequestKind;
  readonly firstSentAt: Milliseconds;
  refusals: number;
  /** Undefined until it is answered. */
  answeredAt: Milliseconds | undefined;
}

export interface Costs {
  probes: number;
  farKilobytes: number;
  /** Sends to other data centres. */
  farSends: number;
  /** Responses that left open whether the request had run. */
  unknownOutcomes: number;
}

export interface Score {
  /** Weighted credit less the prices. */
  readonly worth: number;
  /** Credit over the whole run, as a share of the maximum. */
  readonly day: number;
  readonly worstWindows: number;
  readonly served: number;
  readonly worstKind: number;
  readonly prices: number;
  readonly probesPerRequest: number;
  readonly farSendsPerRequest: number;
  /** Share of requests whose outcome was left open. */
  readonly unknown: number;
  readonly inTime: number;
  readonly late: number;
}

export function scoreOf(
  scenario: Scenario,
  requests: readonly CallerRequest[],
  costs: Costs,
): Score {
  const maxCredit = sum(requests, ({kind}) => kind.credit);
  const prices =
    (scenario.prices.probe * costs.probes +
      scenario.prices.far_kilobyte * costs.farKilobytes +
      sum(requests, repeatedRefusalCost)) /
    maxCredit;
  const day = creditShare(requests);
  const worstWindows = worstWindowShare(requests);
  const served = mean(requests, one => Number(isServed(one))) ?? 0;
  const kinds = scenario.kinds.map(kind =>
    creditShare(requests.filter(one => one.kind === kind)),
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
    probesPerRequest: costs.probes / requests.length,
    farSendsPerRequest: costs.farSends / requests.length,
    unknown: costs.unknownOutcomes / requests.length,
    inTime: mean(requests, one => Number(isInTime(one))) ?? 0,
    late: mean(requests, one => Number(isServed(one) && !isInTime(one))) ?? 0,
  };
}

/** Credit for the requests of each second, as a share of the maximum. */
export function creditBySecond(
  requests: readonly CallerRequest[],
): readonly number[] {
  const last = max(requests, ({firstSentAt}) => firstSentAt) ?? 0;
  const seconds = Math.floor(last / MS_PER_SECOND) + 1;
  return Array.from({length: seconds}, (_, second) =>
    creditShare(
      requests.filter(
        ({firstSentAt}) => Math.floor(firstSentAt / MS_PER_SECOND) === second,
      ),
    ),
  );
}

function worstWindowShare(requests: readonly CallerRequest[]): number {
  const windows = new Map<number, CallerRequest[]>();
  for (const one of requests) {
    const window = Math.floor(one.firstSentAt / CREDIT_WINDOW_MS);
    windows.set(window, [...(windows.get(window) ?? []), one]);
  }
  const shares = [...windows.values()].map(creditShare).sort((a, b) => a - b);
  return mean(shares.slice(0, WORST_WINDOW_COUNT)) ?? 0;
}

function creditShare(requests: readonly CallerRequest[]): number {
  const maxCredit = sum(requests, ({kind}) => kind.credit);
  return maxCredit > 0 ? sum(requests, creditOf) / maxCredit : 1;
}

function creditOf(request: CallerRequest): number {
  if (!isServed(request)) {
    return 0;
  }
  const {kind} = request;
  return isInTime(request) ? kind.credit : kind.late_credit;
}

function isServed({answeredAt}: CallerRequest): boolean {
  return answeredAt !== undefined;
}

function isInTime({answeredAt, firstSentAt, kind}: CallerRequest): boolean {
  return answeredAt !== undefined && answeredAt - firstSentAt <= kind.target_ms;
}

function repeatedRefusalCost(request: CallerRequest): number {
  return request.refusals > 1 && !isServed(request)
    ? REPEATED_REFUSAL_COST * request.kind.credit
    : 0;
}
