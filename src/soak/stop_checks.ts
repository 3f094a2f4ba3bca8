/** Checks that planned stops of hosts harm no request. */

import type {Milliseconds} from '../time/index.js';
import type {Check} from './findings.js';
import {completedRequests, finding} from './findings.js';
import type {History} from './history.js';
import {overlapsAny} from './history.js';
import type {Finding, RequestOutcome, SentRequest, Span} from './types.js';

/** A request that ends without a response within this time counts as lost on its way. */
const LOST_MS: Milliseconds = 200;

export const STOP_CHECKS: readonly Check[] = [
  findAbortedRequests,
  findUnansweredRequests,
];

/** A planned stop must not abort requests that have reached an upstream. */
function findAbortedRequests(history: History): readonly Finding[] {
  return completedRequests(history).flatMap(([request, outcome]) => {
    const stop = stopAlone(history, request, outcome);
    return stop &&
      outcome.kind === 'cut' &&
      history.runsOf(request.id).length > 0
      ? [
          finding(
            'graceful stop',
            request,
            `${outcome.error}, ${times(stop, request, outcome)}`,
          ),
        ]
      : [];
  });
}

/** A host that stops must respond to requests that it has had time to read. */
function findUnansweredRequests(history: History): readonly Finding[] {
  const arrived = new Set(history.arrivals.map(({id}) => id));
  return completedRequests(history).flatMap(([request, outcome]) => {
    const stop = stopAlone(history, request, outcome);
    if (!stop || outcome.kind === 'answered' || arrived.has(request.id)) {
      return [];
    }
    const {at, deliveredAt = Infinity} = outcome;
    const waitedMs =
      at - deliveredAt - stalledMs(history, {from: deliveredAt, to: at});
    const detail = `${outcome.kind} ${Math.round(waitedMs)} ms after its last byte, ${times(stop, request, outcome)}`;
    return waitedMs > LOST_MS ? [finding('unanswered', request, detail)] : [];
  });
}

/** The planned stop during which a request ended, if nothing else explains its end. */
function stopAlone(
  history: History,
  {host, at}: SentRequest,
  outcome: RequestOutcome,
): Span | undefined {
  const span = {from: at, to: outcome.at};
  const isExcused =
    overlapsAny(span, history.hostFaults.get(host) ?? []) ||
    overlapsAny(span, history.upstreamFaults);
  const stops = history.plannedStops.get(host) ?? [];
  return isExcused
    ? undefined
    : stops.filter(one => overlapsAny(span, [one])).at(-1);
}

/** Time within a span in which the soak couldn't notice that a connection was closed. */
function stalledMs({stalls}: History, span: Span): Milliseconds {
  return stalls.reduce((sum, {from, to}) => {
    const overlap = Math.min(to, span.to) - Math.max(from, span.from);
    return sum + Math.max(0, overlap);
  }, 0);
}

function times(
  {from}: Span,
  request: SentRequest,
  outcome: RequestOutcome,
): string {
  const sentMs = Math.round(request.at - from);
  const endMs = Math.round(outcome.at - from);
  return `sent ${sentMs} ms and ended ${endMs} ms after SIGTERM`;
}
