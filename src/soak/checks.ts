/** Checks a run's history for violations of the documented guarantees. */

import type {Milliseconds} from '../time/index.js';
import {
  PROPAGATION_MS,
  HARMFUL_TARGET,
  FAULT_RECOVERY_MS,
  TIMING_SLACK_MS,
} from './constants.js';
import {CUSTOMER_CHECKS} from './customer_checks.js';
import type {Check} from './findings.js';
import {
  completedRequests,
  describe,
  finding,
  isUndisturbed,
} from './findings.js';
import type {History} from './history.js';
import {overlapsAny} from './history.js';
import {OVERLOAD_CHECKS} from './overload_checks.js';
import {PATH_CHECKS} from './path_checks.js';
import {STOP_CHECKS} from './stop_checks.js';
import type {Finding, Span} from './types.js';

/** Statuses that guarantee that a request wasn't executed and won't be. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** An upstream receives no requests this long after it is registered as draining. */
const DRAIN_DEADLINE_MS: Milliseconds = 2_000;

/** A data centre receives no requests this long after its evacuation. */
const EVACUATION_DEADLINE_MS: Milliseconds = 5_000;

/** Number of upstream crashes after which a request must be quarantined. */
const CRASHES_TO_QUARANTINE = 3;
/** Executions allowed after that, for attempts already in flight. */
const MAX_LATE_RUNS = 3;

/** An upstream may receive up to 1.5 times its rate limit plus 5 requests in any 4 s. */
const LIMIT_OVERAGE = 1.5;
const LIMIT_SLACK = 5;
const LIMIT_WINDOW_S = 4;

/** Requests in flight when a refusal is sent may arrive within this time. */
const TRANSIT_MS: Milliseconds = 500;
const MAX_ARRIVALS_IN_BACKOFF = 2;

/** All checks, run on the complete history at the end of a run. */
export const CHECKS: readonly Check[] = [
  findWrongResponses,
  findAlteredRequests,
  findDuplicateOrders,
  findFalseRefusals,
  findRunsAfterLeaving,
  findRunsInEvacuatedDataCentres,
  findColdOverloads,
  findRateLimitViolations,
  findArrivalsInBackoff,
  findRunsAfterAnnouncedLeaving,
  findHarmfulRuns,
  ...CUSTOMER_CHECKS,
  ...OVERLOAD_CHECKS,
  ...PATH_CHECKS,
  ...STOP_CHECKS,
];

function findWrongResponses(history: History): readonly Finding[] {
  return completedRequests(history).flatMap(([request, outcome]) => {
    const expected = `${request.method} ${request.target} ${request.body}`;
    return outcome.kind === 'answered' &&
      outcome.status === 200 &&
      outcome.body !== expected
      ? [
          finding(
            'intact response',
            request,
            `got ${outcome.body.slice(0, 80)}`,
          ),
        ]
      : [];
  });
}

function findAlteredRequests(history: History): readonly Finding[] {
  return history.runs.flatMap(run => {
    const request = history.sent.get(run.id);
    const same =
      request?.method === run.method &&
      request.target === run.target &&
      request.body === run.body;
    return same ? [] : [{guarantee: 'unchanged', detail: describe(run)}];
  });
}

function findDuplicateOrders(history: History): readonly Finding[] {
  return completedRequests(history).flatMap(([request]) => {
    const runs = request.kind === 'order' ? history.runsOf(request.id) : [];
    return runs.length > 1
      ? [finding('once', request, runs.map(describe).join('; '))]
      : [];
  });
}

function findFalseRefusals(history: History): readonly Finding[] {
  return completedRequests(history).flatMap(([request, outcome]) => {
    const refused =
      outcome.kind === 'answered' && NOT_RUN_STATUSES.has(outcome.status);
    const [run] = refused ? history.runsOf(request.id) : [];
    return run ? [finding('true refusal', request, describe(run))] : [];
  });
}

/** Ignores requests of hosts that faults may have kept from knowing of the drain. */
function findRunsAfterLeaving(history: History): readonly Finding[] {
  return history.runs.flatMap(run => {
    const drainRecordedAt =
      history.drainRecordedAt.get(run.upstream) ?? Infinity;
    const request = history.sent.get(run.id);
    const lateBy =
      run.at - drainRecordedAt - DRAIN_DEADLINE_MS - TIMING_SLACK_MS;
    if (!request || lateBy <= 0) {
      return [];
    }
    const span = {from: drainRecordedAt - FAULT_RECOVERY_MS, to: run.at};
    const excused = overlapsAny(span, history.propagationFaults(request.host));
    const detail = `${describe(run)}, ${Math.round(lateBy)} ms too late`;
    return excused ? [] : [finding('drain', request, detail)];
  });
}

/** Ignores requests of hosts that faults may have kept from knowing of the evacuation. */
function findRunsInEvacuatedDataCentres(history: History): readonly Finding[] {
  return history.runs.flatMap(run => {
    const dataCentre = history.dataCentres.get(run.upstream) ?? '';
    const request = history.sent.get(run.id);
    const evacuation = history.evacuations
      .get(dataCentre)
      ?.find(
        ({from, to}) => run.at > from + EVACUATION_DEADLINE_MS && run.at < to,
      );
    if (!request || !evacuation) {
      return [];
    }
    const span = {
      from: evacuation.from - FAULT_RECOVERY_MS,
      to: evacuation.from,
    };
    const {host} = request;
    const since = {from: run.at - FAULT_RECOVERY_MS, to: run.at};
    const excused =
      overlapsAny(span, history.storeFaults) ||
      overlapsAny(since, history.hostFaults.get(host) ?? []) ||
      overlapsAny(
        {...span, to: run.at},
        history.storeLinkFaults.get(host) ?? [],
      );
    const lateBy = Math.round(
      run.at - evacuation.from - EVACUATION_DEADLINE_MS,
    );
    const detail = `${describe(run)}, ${lateBy} ms too late`;
    return excused ? [] : [finding('evacuated', request, detail)];
  });
}

function findColdOverloads({overloadedWhileCold}: History): readonly Finding[] {
  return overloadedWhileCold.map(id => ({
    guarantee: 'cold limit',
    detail: `${id} received more requests than its limit while cold`,
  }));
}

/** Counts only runs undisturbed since shortly before the limit was announced. */
function findRateLimitViolations(history: History): readonly Finding[] {
  return history.rateLimits.flatMap(({upstream, perSecond, from, to}) => {
    const times = history.runs
      .filter(run => run.upstream === upstream && run.at <= to)
      .filter(({at}) => at > from + PROPAGATION_MS + TIMING_SLACK_MS)
      .filter(run => isUndisturbed(history, run, from - FAULT_RECOVERY_MS))
      .map(({at}) => at);
    const peak = Math.max(0, ...times.map(at => countInWindow(times, at)));
    const allowed =
      Math.floor(LIMIT_OVERAGE * perSecond * LIMIT_WINDOW_S) + LIMIT_SLACK;
    const detail = `${upstream} announced a limit of ${perSecond} a second and ran ${peak} requests in ${LIMIT_WINDOW_S} s`;
    return peak > allowed ? [{guarantee: 'rate limit', detail}] : [];
  });
}

function countInWindow(
  times: readonly Milliseconds[],
  from: Milliseconds,
): number {
  const to = from + LIMIT_WINDOW_S * 1_000;
  return times.filter(at => at >= from && at < to).length;
}

/** Ignores requests that were in flight when the refusal was sent. */
function findArrivalsInBackoff(history: History): readonly Finding[] {
  return history.refusals.flatMap(({id, upstream, at, until}) => {
    const host = history.sent.get(id)?.host;
    const arrivals = history.refusals.filter(
      other =>
        other.upstream === upstream &&
        history.sent.get(other.id)?.host === host &&
        other.at > at + TRANSIT_MS &&
        other.at < until &&
        isUndisturbed(history, other, at - FAULT_RECOVERY_MS),
    );
    const detail = `${upstream} refused host ${host} and received ${arrivals.length} requests from it before Retry-After elapsed`;
    return arrivals.length > MAX_ARRIVALS_IN_BACKOFF
      ? [{guarantee: 'backoff', detail}]
      : [];
  });
}

function findRunsAfterAnnouncedLeaving(history: History): readonly Finding[] {
  return history.runs.flatMap(run => {
    const announcedAt =
      history.leavingAnnouncedAt.get(run.upstream) ?? Infinity;
    const lateBy = run.at - announcedAt - DRAIN_DEADLINE_MS - TIMING_SLACK_MS;
    return lateBy > 0 &&
      isUndisturbed(history, run, announcedAt - FAULT_RECOVERY_MS)
      ? [{guarantee: 'announced leaving', detail: describe(run)}]
      : [];
  });
}

/**
 * After a request has crashed three upstreams, few further executions are allowed.
 * Ignores executions sent by hosts with recent faults. No execution counts if the
 * crash records may be lost because all hosts were down at once during a store fault.
 */
function findHarmfulRuns(history: History): readonly Finding[] {
  const runs = history.runs.filter(({target}) => target === HARMFUL_TARGET);
  const thresholdRun = runs[CRASHES_TO_QUARANTINE - 1];
  if (!thresholdRun) {
    return [];
  }
  const lateRuns = runs.filter(({id, at}) => {
    const host = history.sent.get(id)?.host ?? 0;
    const span = {from: at - PROPAGATION_MS, to: at};
    return (
      at > thresholdRun.at + PROPAGATION_MS + TIMING_SLACK_MS &&
      !overlapsAny(span, history.hostFaults.get(host) ?? [])
    );
  });
  const last = lateRuns.at(-1);
  const mayBeLost =
    last &&
    crashRecordsMayBeLost(history, {from: thresholdRun.at, to: last.at});
  return last && lateRuns.length > MAX_LATE_RUNS && !mayBeLost
    ? [
        {
          guarantee: 'quarantine',
          detail: `${lateRuns.length}: ${describe(last)}`,
        },
      ]
    : [];
}

function crashRecordsMayBeLost(history: History, span: Span): boolean {
  const hosts = [...history.hostFaults.values()];
  const allAtOnce = hosts
    .flat()
    .some(one => hosts.every(spans => overlapsAny(one, spans)));
  return allAtOnce && overlapsAny(span, history.storeFaults);
}
