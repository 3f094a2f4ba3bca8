/** Parts that checks of a run's history share. */

import type {Milliseconds} from '../time/index.js';
import type {History} from './history.js';
import {overlapsAny} from './history.js';
import type {
  Finding,
  ObservedRun,
  RequestOutcome,
  SentRequest,
} from './types.js';

export type Check = (history: History) => readonly Finding[];

/** Whether no fault affected the request's host, any upstream or its link since then. */
export function isUndisturbed(
  history: History,
  {id, at}: Pick<ObservedRun, 'id' | 'at'>,
  since: Milliseconds,
): boolean {
  const host = history.sent.get(id)?.host ?? 0;
  const span = {from: since, to: at};
  return (
    !overlapsAny(span, history.hostFaults.get(host) ?? []) &&
    !overlapsAny(span, history.upstreamFaults)
  );
}

export function completedRequests(
  history: History,
): readonly (readonly [SentRequest, RequestOutcome])[] {
  return [...history.sent.values()].flatMap(request => {
    const outcome = history.outcomes.get(request.id);
    return outcome ? [[request, outcome] as const] : [];
  });
}

export function finding(
  guarantee: string,
  {id, kind, host}: SentRequest,
  detail: string,
): Finding {
  return {
    guarantee,
    detail: `${kind} ${id} at host ${host}: ${detail}`,
  };
}

export function describe({
  id,
  upstream,
  method,
  target,
  at,
}: ObservedRun): string {
  return `${upstream} ran ${id} (${method} ${target}) at ${Math.round(at)} ms`;
}
