/** The promises of the project's pages, checked on a run's history. */

import type {Milliseconds} from '../time/index.js';
import {CONTACT_MS, HARMFUL_TARGET, REST_MS, SLACK_MS} from './constants.js';
import type {History} from './history.js';
import {overlaps} from './history.js';
import type {
  Finding,
  ObservedRun,
  RequestEnd,
  SentRequest,
  Span,
} from './types.js';

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Within this time an upstream that leaves gets nothing more. */
const DRAIN_MS: Milliseconds = 2_000;

/** Within this time nothing more reaches an evacuated data centre. */
const EVACUATE_MS: Milliseconds = 5_000;

/** Upstreams that end under a request before it must be known. */
const CRASHES_TO_KNOW = 3;
/** Sends of it that may be on their way then. */
const MOST_LATE_RUNS = 3;

/** An upstream may receive up to 1.5 times its rate limit plus 5 requests in any 4 s. */
const LIMIT_OVERAGE = 1.5;
const LIMIT_SLACK = 5;
const LIMIT_WINDOW_S = 4;

/** Requests in flight when a refusal is sent may arrive within this time. */
const TRANSIT_MS: Milliseconds = 500;
const MAX_ARRIVALS_IN_BACKOFF = 2;

type Check = (history: History) => readonly Finding[];

/** Each check reads the whole history once the run is over. */
export const CHECKS: readonly Check[] = [
  findMixedAnswers,
  findUnaskedRuns,
  findRepeatedOrders,
  findFalseRefusals,
  findRunsAfterLeaving,
  findRunsInEvacuated,
  findOverwhelmed,
  findRateLimitViolations,
  findArrivalsInBackoff,
  findRunsAfterAnnouncedLeaving,
  findCutRequests,
  findHarmfulRuns,
];

function findMixedAnswers(history: History): readonly Finding[] {
  return pairs(history).flatMap(([request, end]) => {
    const expected = `${request.method} ${request.target} ${request.body}`;
    return end.kind === 'answered' &&
      end.status === 200 &&
      end.body !== expected
      ? [finding('whole', request, `got ${end.body.slice(0, 80)}`)]
      : [];
  });
}

function findUnaskedRuns(history: History): readonly Finding[] {
  return history.runs.flatMap(run => {
    const request = history.sent.get(run.id);
    const same =
      request?.method === run.method &&
      request.target === run.target &&
      request.body === run.body;
    return same ? [] : [{promise: 'unchanged', detail: describe(run)}];
  });
}

function findRepeatedOrders(history: History): readonly Finding[] {
  return pairs(history).flatMap(([request]) => {
    const runs = request.kind === 'order' ? history.runsOf(request.id) : [];
    return runs.length > 1
      ? [finding('once', request, runs.map(describe).join('; '))]
      : [];
  });
}

function findFalseRefusals(history: History): readonly Finding[] {
  return pairs(history).flatMap(([request, end]) => {
    const refused = end.kind === 'answered' && NOT_RUN_STATUSES.has(end.status);
    const [run] = refused ? history.runsOf(request.id) : [];
    return run ? [finding('true refusal', request, describe(run))] : [];
  });
}

/** Only sends of hosts that could hear of the leaving count. */
function findRunsAfterLeaving(history: History): readonly Finding[] {
  return history.runs.flatMap(run => {
    const leftAt = history.leftAt.get(run.upstream) ?? Infinity;
    const request = history.sent.get(run.id);
    const lateBy = run.at - leftAt - DRAIN_MS - SLACK_MS;
    if (!request || lateBy <= 0) {
      return [];
    }
    const span = {from: leftAt - REST_MS, to: run.at};
    const excused = overlaps(span, history.deafSpans(request.host));
    const detail = `${describe(run)}, ${Math.round(lateBy)} ms too late`;
    return excused ? [] : [finding('drain', request, detail)];
  });
}

/** Only sends of hosts that could hear of the evacuation count. */
function findRunsInEvacuated(history: History): readonly Finding[] {
  return history.runs.flatMap(run => {
    const dataCentre = history.dataCentres.get(run.upstream) ?? '';
    const request = history.sent.get(run.id);
    const evacuation = history.evacuations
      .get(dataCentre)
      ?.find(({from, to}) => run.at > from + EVACUATE_MS && run.at < to);
    if (!request || !evacuation) {
      return [];
    }
    const span = {from: evacuation.from - REST_MS, to: evacuation.from};
    const {host} = request;
    const since = {from: run.at - REST_MS, to: run.at};
    const excused =
      overlaps(span, history.storeTroubles) ||
      overlaps(since, history.hostTroubles.get(host) ?? []) ||
      overlaps({...span, to: run.at}, history.wayTroubles.get(host) ?? []);
    const lateBy = Math.round(run.at - evacuation.from - EVACUATE_MS);
    const detail = `${describe(run)}, ${lateBy} ms too late`;
    return excused ? [] : [finding('evacuated', request, detail)];
  });
}

function findOverwhelmed({overwhelmed}: History): readonly Finding[] {
  return overwhelmed.map(id => ({
    promise: 'cold bound',
    detail: `${id} got more than it bears while cold`,
  }));
}

/** Counts only runs undisturbed since shortly before the limit was announced. */
function findRateLimitViolations(history: History): readonly Finding[] {
  return history.rateLimits.flatMap(({upstream, perSecond, from, to}) => {
    const times = history.runs
      .filter(run => run.upstream === upstream && run.at <= to)
      .filter(({at}) => at > from + CONTACT_MS + SLACK_MS)
      .filter(run => isUndisturbed(history, run, from - REST_MS))
      .map(({at}) => at);
    const peak = Math.max(0, ...times.map(at => countInWindow(times, at)));
    const allowed =
      Math.floor(LIMIT_OVERAGE * perSecond * LIMIT_WINDOW_S) + LIMIT_SLACK;
    const detail = `${upstream} announced a limit of ${perSecond} a second and ran ${peak} requests in ${LIMIT_WINDOW_S} s`;
    return peak > allowed ? [{promise: 'rate limit', detail}] : [];
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
        isUndisturbed(history, other, at - REST_MS),
    );
    const detail = `${upstream} refused host ${host} and received ${arrivals.length} requests from it before Retry-After elapsed`;
    return arrivals.length > MAX_ARRIVALS_IN_BACKOFF
      ? [{promise: 'backoff', detail}]
      : [];
  });
}

function findRunsAfterAnnouncedLeaving(history: History): readonly Finding[] {
  return history.runs.flatMap(run => {
    const announcedAt =
      history.leavingAnnouncedAt.get(run.upstream) ?? Infinity;
    const lateBy = run.at - announcedAt - DRAIN_MS - SLACK_MS;
    return lateBy > 0 && isUndisturbed(history, run, announcedAt - REST_MS)
      ? [{promise: 'announced leaving', detail: describe(run)}]
      : [];
  });
}

/** Whether no fault affected the request's host, any upstream or its link since then. */
function isUndisturbed(
  history: History,
  {id, at}: Pick<ObservedRun, 'id' | 'at'>,
  since: Milliseconds,
): boolean {
  const host = history.sent.get(id)?.host ?? 0;
  const span = {from: since, to: at};
  return (
    !overlaps(span, history.hostTroubles.get(host) ?? []) &&
    !overlaps(span, history.upstreamTroubles)
  );
}

/** A planned stop cuts nothing off that had reached an upstream. */
function findCutRequests(history: History): readonly Finding[] {
  return pairs(history).flatMap(([request, end]) => {
    if (end.kind !== 'cut' || history.runsOf(request.id).length === 0) {
      return [];
    }
    const span = {from: request.at, to: end.at};
    const planned = overlaps(span, history.stops.get(request.host) ?? []);
    const excused =
      overlaps(span, history.hostTroubles.get(request.host) ?? []) ||
      overlaps(span, history.upstreamTroubles);
    return planned && !excused
      ? [finding('graceful stop', request, end.error)]
      : [];
  });
}

/**
 * A request under which three upstreams crashed reaches few more. Runs don't count
 * of hosts that were in trouble of late, nor any while nobody could remember: all
 * hosts were down at once, and the store in trouble.
 */
function findHarmfulRuns(history: History): readonly Finding[] {
  const runs = history.runs.filter(({target}) => target === HARMFUL_TARGET);
  const known = runs[CRASHES_TO_KNOW - 1];
  if (!known) {
    return [];
  }
  const late = runs.filter(({id, at}) => {
    const host = history.sent.get(id)?.host ?? 0;
    const span = {from: at - CONTACT_MS, to: at};
    return (
      at > known.at + CONTACT_MS + SLACK_MS &&
      !overlaps(span, history.hostTroubles.get(host) ?? [])
    );
  });
  const last = late.at(-1);
  const isForgotten =
    last && wasForgotten(history, {from: known.at, to: last.at});
  return last && late.length > MOST_LATE_RUNS && !isForgotten
    ? [{promise: 'held back', detail: `${late.length}: ${describe(last)}`}]
    : [];
}

function wasForgotten(history: History, span: Span): boolean {
  const hosts = [...history.hostTroubles.values()];
  const allAtOnce = hosts
    .flat()
    .some(one => hosts.every(spans => overlaps(one, spans)));
  return allAtOnce && overlaps(span, history.storeTroubles);
}

function pairs(
  history: History,
): readonly (readonly [SentRequest, RequestEnd])[] {
  return [...history.sent.values()].flatMap(request => {
    const end = history.ends.get(request.id);
    return end ? [[request, end] as const] : [];
  });
}

function finding(
  promise: string,
  {id, kind, host}: SentRequest,
  detail: string,
): Finding {
  return {promise, detail: `${kind} ${id} at host ${host}: ${detail}`};
}

function describe({id, upstream, method, target, at}: ObservedRun): string {
  return `${upstream} ran ${id} (${method} ${target}) at ${Math.round(at)} ms`;
}
