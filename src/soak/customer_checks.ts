/** Checks that keys and quotas of customers are kept. */

import {HEADERS} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import {
  MAX_APPLY_DELAY_MS,
  QUOTA_TOLERANCE,
  TIMING_SLACK_MS,
} from './constants.js';
import type {QuotaSpan} from './customer_history.js';
import type {Check} from './findings.js';
import {completedRequests, describe, finding} from './findings.js';
import type {History} from './history.js';
import type {Finding, ObservedRun, SentRequest, Span} from './types.js';

const UNKNOWN_KEY_STATUS = 401;
const KNOWN_AFTER_MS: Milliseconds = MAX_APPLY_DELAY_MS + TIMING_SLACK_MS;

export const CUSTOMER_CHECKS: readonly Check[] = [
  findRunsWithRevokedKeys,
  findRunsWithUnknownKeys,
  findWrongCustomerNames,
  findForwardedKeys,
  findRefusedValidKeys,
  findQuotaViolations,
];

/** A run of a request that was sent with a key. */
interface KeyedRun {
  readonly run: ObservedRun;
  readonly request: SentRequest;
  readonly key: string;
}

function findRunsWithRevokedKeys(history: History): readonly Finding[] {
  return keyedRuns(history).flatMap(({run, request, key}) => {
    const revokedAt = history.customers.keys.get(key)?.to ?? Infinity;
    const faults = history.propagationFaults(request.host);
    const lateBy = run.at - knownBy(revokedAt, faults, run.at);
    const detail = `${describe(run)}, ${Math.round(lateBy)} ms too late`;
    return lateBy > 0 ? [finding('revoked key', request, detail)] : [];
  });
}

function findRunsWithUnknownKeys(history: History): readonly Finding[] {
  return keyedRuns(history).flatMap(({run, request, key}) =>
    history.customers.keys.has(key)
      ? []
      : [finding('unknown key', request, describe(run))],
  );
}

function findWrongCustomerNames(history: History): readonly Finding[] {
  return keyedRuns(history).flatMap(({run, request, key}) => {
    const expected = history.customers.keys.get(key)?.customer;
    const sent = run.headers.get(HEADERS.customer);
    const detail = `${describe(run)} for ${sent} instead of ${expected}`;
    return expected === undefined || sent === expected
      ? []
      : [finding('customer name', request, detail)];
  });
}

function findForwardedKeys(history: History): readonly Finding[] {
  return keyedRuns(history).flatMap(({run, request, key}) => {
    const isForwarded =
      run.headers.has('authorization') ||
      [...run.headers.values()].some(value => value.includes(key));
    return isForwarded ? [finding('hidden key', request, describe(run))] : [];
  });
}

/** Ignores requests of hosts that faults may have kept from knowing the key. */
function findRefusedValidKeys(history: History): readonly Finding[] {
  return completedRequests(history).flatMap(([request, outcome]) => {
    const span = history.customers.keys.get(request.key ?? '');
    if (
      !span ||
      outcome.kind !== 'answered' ||
      outcome.status !== UNKNOWN_KEY_STATUS
    ) {
      return [];
    }
    const faults = history.propagationFaults(request.host);
    const isValid =
      request.at > knownBy(span.from, faults, outcome.at) &&
      outcome.at < span.to;
    const detail = `${outcome.status} for a key of ${span.customer}`;
    return isValid ? [finding('valid key', request, detail)] : [];
  });
}

/** Reports the window of each customer that exceeds its bound by most. */
function findQuotaViolations(history: History): readonly Finding[] {
  const runTimes = firstRunTimes(history);
  return [...history.customers.quotas].flatMap(([name, quotas]) => {
    const times = runTimes.get(name) ?? [];
    const [worst] = windowsOf(times)
      .map(({span, count}) => ({
        span,
        count,
        bound: quotaBound(history, quotas, span),
      }))
      .filter(({count, bound}) => count > bound)
      .sort((a, b) => b.count - b.bound - (a.count - a.bound));
    return worst
      ? [{guarantee: 'quota', detail: describeWindow(name, worst)}]
      : [];
  });
}

function describeWindow(
  customer: string,
  {span, count, bound}: Readonly<{span: Span; count: number; bound: number}>,
): string {
  const from = Math.round(span.from);
  return `${count} requests of ${customer} ran in the window from ${from} ms; the bound is ${bound.toFixed(1)}`;
}

/** Times at which the requests of each customer first ran: retries don't count. */
function firstRunTimes(
  history: History,
): ReadonlyMap<string, readonly Milliseconds[]> {
  const seen = new Set<string>();
  const times = new Map<string, Milliseconds[]>();
  for (const {run, key} of keyedRuns(history)) {
    const customer = history.customers.keys.get(key)?.customer;
    if (customer !== undefined && !seen.has(run.id)) {
      seen.add(run.id);
      const ofCustomer = times.get(customer) ?? [];
      ofCustomer.push(run.at);
      times.set(customer, ofCustomer);
    }
  }
  return times;
}

/** The window that begins at each of the ascending times, and how many it contains. */
function windowsOf(
  times: readonly Milliseconds[],
): readonly {readonly span: Span; readonly count: number}[] {
  let end = 0;
  return times.map((from, index) => {
    const to = from + QUOTA_TOLERANCE.windowMs;
    while (end < times.length && (times[end] ?? Infinity) < to) {
      end += 1;
    }
    return {span: {from, to}, count: end - index};
  });
}

/** The highest bound of the quotas that may be in force at any host in the window. */
function quotaBound(
  history: History,
  quotas: readonly QuotaSpan[],
  window: Span,
): number {
  const {windowMs, overage, slack} = QUOTA_TOLERANCE;
  const faults = history.allPropagationFaults;
  const bounds = quotas
    .filter(
      ({from, to}) =>
        from < window.to && window.from <= knownBy(to, faults, window.from),
    )
    .map(({ratePerSecond, burst}) => {
      const quota = (ratePerSecond * windowMs) / 1_000 + burst;
      return quota * (1 + overage) + slack;
    });
  return Math.max(...bounds);
}

/**
 * Time by which hosts must have applied a change. The delay counts from the end of the
 * last fault that began before `now`.
 */
function knownBy(
  changedAt: Milliseconds,
  faults: readonly Span[],
  now: Milliseconds,
): Milliseconds {
  const ends = faults.filter(({from}) => from <= now).map(({to}) => to);
  return Math.max(changedAt, ...ends) + KNOWN_AFTER_MS;
}

function keyedRuns(history: History): readonly KeyedRun[] {
  return history.runs.flatMap(run => {
    const request = history.sent.get(run.id);
    const key = request?.key;
    return request && key !== undefined ? [{run, request, key}] : [];
  });
}
