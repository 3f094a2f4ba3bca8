/** Counts and logs the end of a request. */

import type {Route} from '../decisions/routes/index.js';
import type {Refused} from '../decisions/scheduling/index.js';
import type {Milliseconds} from '../time/index.js';
import type {AdmissionLogFields} from './request_admission.js';
import type {GatewayContext} from './types.js';
import type {UpstreamAttempt} from './upstream_attempt.js';

export interface RequestEnd {
  /** The request id. */
  readonly id: string;
  readonly route: Route;
  readonly service: string;
  readonly outcome: string;
  readonly arrivedAt: Milliseconds;
  readonly leftMs: Milliseconds;
  /** What quotas and overload control decided. */
  readonly admission: AdmissionLogFields;
  readonly fingerprint: string | undefined;
  readonly attempts: readonly UpstreamAttempt[];
  /** Set if the scheduler refused the request. */
  readonly refusal: Refused | undefined;
}

export function recordRequestEnd(
  {log, state, metrics, clock}: GatewayContext,
  {route, outcome, refusal, ...end}: RequestEnd,
): void {
  const elapsedMs = clock.now() - end.arrivedAt;
  const {rank} = route;
  const customer = end.admission.customer;
  metrics.countRequest({rank, outcome, elapsedMs, customer});
  const fields = {
    event: 'request',
    request: end.id,
    route: route.name,
    service: end.service,
    outcome,
    ms: Math.round(elapsedMs),
    leftMs: Math.round(end.leftMs),
    targetMs: route.targetMs,
    ...end.admission,
    fingerprint: end.fingerprint,
    sends: end.attempts.map(({logEntry}) => logEntry),
    told: refusal?.told,
    limits: undefinedIfEmpty(refusal?.blockers.limits),
    backoffs: undefinedIfEmpty(refusal?.blockers.backoffs),
    version: state.routes.version,
    ageMs: Math.round(state.ageMs),
  };
  if (outcome === 'answered-200') {
    log.logSuccess(fields, 'request ended');
  } else {
    log.logFailure(fields, 'request ended');
  }
}

/** Empty lists become undefined, which log lines omit. */
function undefinedIfEmpty<T>(
  list: readonly T[] = [],
): readonly T[] | undefined {
  return list.length > 0 ? list : undefined;
}
