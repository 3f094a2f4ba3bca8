/** Checks of whom hosts serve when demand exceeds capacity, and that they refuse no one else. */

import type {Milliseconds} from '../time/index.js';
import {TIMING_SLACK_MS} from './constants.js';
import type {Check} from './findings.js';
import {completedRequests, finding, isUndisturbed} from './findings.js';
import type {History} from './history.js';
import {overlapsAny} from './history.js';
import type {Finding, RequestOutcome, SentRequest, Span} from './types.js';

/** Chance that a check reports a fleet that treats the compared customers alike. */
const FALSE_ALARM_CHANCE = 1e-6;
/** All hosts know demand and capacity within 300 ms of the beginning of a burst. */
const AWARE_AFTER_MS: Milliseconds = 300 + TIMING_SLACK_MS;
/** Hosts must use at least this share of what upstreams could serve. */
const MIN_UTILISATION = 0.95;
const FREE_CAPACITY_SHARE = 0.5;
const SECOND_MS: Milliseconds = 1_000;
/**
 * Demand must be low for this long: a host refuses requests by a plan for up to 1 s,
 * which follows from the demand of the second before it; one more for the measuring.
 */
const LOW_DEMAND_SECONDS = 3;
const UNKNOWN_KEY_STATUS = 401;
const SHED_TYPE = '"urn:cyclamenlever:shed"';

export const OVERLOAD_CHECKS: readonly Check[] = [
  findPriorityInversions,
  findUnservedUrgentRequests,
  findNeedlessSheds,
];

type Completed = readonly [SentRequest, RequestOutcome];

/**
 * In a burst beyond capacity, customers of priority 0 are served at least as often as
 * those of the least urgent priority. Only counts hosts without faults of their own.
 */
function findPriorityInversions(history: History): readonly Finding[] {
  const lowest = Math.max(...priorities(history).values());
  return history.customers.bursts.flatMap(burst => {
    const urgent = requestsOf(history, 0, burst);
    const least = requestsOf(history, lowest, burst);
    const margin = chanceMargin(urgent.length, least.length);
    const [urgentShare, leastShare] = [servedShare(urgent), servedShare(least)];
    const detail = `${urgentShare.toFixed(3)} of ${urgent.length} requests of priority 0 were served, ${leastShare.toFixed(3)} of ${least.length} of priority ${lowest}; the margin is ${margin.toFixed(3)}`;
    return urgentShare < leastShare - margin
      ? [{guarantee: 'priority', detail}]
      : [];
  });
}

/**
 * Levels are admitted in order until the capacity is used: while priority 0 asks for
 * less than half of it, the shortage is borne by others. Up to 1 - MIN_UTILISATION of
 * the capacity may stay unused, so at most this share of its requests may be refused.
 * Ignores bursts during which a host was lost: it may have been the reader, without
 * which hosts have no plan for a while.
 */
function findUnservedUrgentRequests(history: History): readonly Finding[] {
  return history.customers.bursts.flatMap(({from, to}) => {
    const span = {from: from + AWARE_AFTER_MS, to};
    const sent = requestsOf(history, 0, span);
    const perSecond = (sent.length * SECOND_MS) / (span.to - span.from);
    const capacity = history.customers.minCapacity({from, to});
    const counted = sent.filter(([{id}, outcome]) =>
      isUndisturbed(history, {id, at: outcome.at}, from),
    );
    const isDisturbed = overlapsAny({from, to}, [
      ...history.customers.capacityFaults,
      ...[...history.hostFaults.values()].flat(),
      ...[...history.plannedStops.values()].flat(),
    ]);
    const share = servedShare(counted);
    const margin = chanceMargin(counted.length);
    const detail = `${share.toFixed(3)} of ${counted.length} requests of priority 0 were served, which asked for ${perSecond.toFixed(0)} of ${capacity.toFixed(0)} requests a second; the margin is ${margin.toFixed(3)}`;
    return !isDisturbed &&
      perSecond < capacity * FREE_CAPACITY_SHARE &&
      share < MIN_UTILISATION - margin
      ? [{guarantee: 'urgent first', detail}]
      : [];
  });
}

/** Nothing is shed while demand stays below half of the capacity. */
function findNeedlessSheds(history: History): readonly Finding[] {
  const times = [...history.sent.values()].map(({at}) => at);
  return completedRequests(history).flatMap(([request, outcome]) => {
    if (!isShed(outcome)) {
      return [];
    }
    const span = {
      from: outcome.at - LOW_DEMAND_SECONDS * SECOND_MS,
      to: outcome.at,
    };
    const capacity = history.customers.minCapacity(span);
    const demand = peakDemand(times, span);
    const excused =
      overlapsAny(span, history.customers.capacityFaults) ||
      !isUndisturbed(history, {id: request.id, at: outcome.at}, span.from);
    const detail = `shed while at most ${demand} requests a second were sent, of ${capacity.toFixed(0)} that upstreams can run`;
    return !excused && demand < capacity * FREE_CAPACITY_SHARE
      ? [finding('free capacity', request, detail)]
      : [];
  });
}

/** Most requests sent in any of the seconds of the span. */
function peakDemand(times: readonly Milliseconds[], {from, to}: Span): number {
  const counts = Array.from({length: LOW_DEMAND_SECONDS}, () => 0);
  for (const at of times.filter(one => one >= from && one < to)) {
    const second = Math.floor((at - from) / SECOND_MS);
    counts[second] = (counts[second] ?? 0) + 1;
  }
  return Math.max(...counts);
}

function isShed(outcome: RequestOutcome): boolean {
  return (
    outcome.kind === 'answered' &&
    outcome.status === 503 &&
    outcome.body.includes(SHED_TYPE)
  );
}

/** Requests with valid keys of customers of this priority, of hosts without faults. */
function requestsOf(
  history: History,
  priority: number,
  span: Span,
): readonly Completed[] {
  const byName = priorities(history);
  return completedRequests(history).filter(
    ([{key = '', host, at}, outcome]) => {
      const {customer = '', from, to} = history.customers.keys.get(key) ?? {};
      const hasValidKey =
        from !== undefined && to !== undefined && at >= from && at < to;
      return (
        at >= span.from &&
        at < span.to &&
        hasValidKey &&
        byName.get(customer) === priority &&
        !isStatus(outcome, UNKNOWN_KEY_STATUS) &&
        !overlapsAny(
          {from: at, to: outcome.at},
          history.hostFaults.get(host) ?? [],
        )
      );
    },
  );
}

function priorities({customers}: History): ReadonlyMap<string, number> {
  return new Map(
    customers.specs.flatMap(({name, priority}) =>
      priority === undefined ? [] : [[name, priority] as const],
    ),
  );
}

function servedShare(requests: readonly Completed[]): number {
  const served = requests.filter(([, outcome]) => isStatus(outcome, 200));
  return served.length / Math.max(1, requests.length);
}

function isStatus(outcome: RequestOutcome, status: number): boolean {
  return outcome.kind === 'answered' && outcome.status === status;
}

/**
 * By how much observed shares of independent requests may differ from their expectation,
 * except with FALSE_ALARM_CHANCE (Hoeffding's inequality, which holds for all shares).
 * Requests draw customer and host independently, so faults affect the customers alike.
 */
function chanceMargin(...counts: readonly number[]): number {
  const variance = counts.reduce((sum, count) => sum + 1 / count, 0);
  return Math.sqrt((Math.log(1 / FALSE_ALARM_CHANCE) / 2) * variance);
}
