/** Classifies the result of an attempt for the request and for its upstream. */

import type {AttemptEnd} from '../decisions/attempts/index.js';
import type {UpstreamFailure} from '../decisions/placement/index.js';
import type {AttemptResult} from '../upstreams/index.js';
import type {GatewayContext} from './types.js';

export type EndedAttempt = Exclude<AttemptResult, {kind: 'long' | 'cancelled'}>;

const MIN_SERVER_ERROR_STATUS = 500;

export function isServerError(status: number): boolean {
  return status >= MIN_SERVER_ERROR_STATUS;
}

export function attemptEndOf(result: EndedAttempt): AttemptEnd {
  if (result.kind !== 'answered') {
    return result.kind;
  }
  return isServerError(result.status) ? 'failed' : 'answered';
}

/** Statuses by which callers take a request for not run, and send an order again. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Upstreams state in a header that they have not run a request; a status alone doesn't. For
 * one that isn't idempotent such a response is replaced: passed on, it could be untrue.
 */
export function withoutUnprovenPromise(result: AttemptResult): AttemptResult {
  const isResponse = result.kind === 'answered' || result.kind === 'long';
  if (!isResponse || !PROMISING_STATUSES.has(result.status)) {
    return result;
  }
  if (result.kind === 'long') {
    result.remainder.destroy();
  }
  const detail = `status ${result.status} that does not state that nothing ran`;
  return {kind: 'broken', detail};
}

/** The failure to record for the upstream; undefined after a success. */
export function failureOf(result: EndedAttempt): UpstreamFailure | undefined {
  switch (result.kind) {
    case 'answered':
      return isServerError(result.status) ? 'error' : undefined;
    case 'not-run':
      return result.reason === 'shed' ? 'shed' : 'unreachable';
    case 'broken':
      return 'broken';
    default:
      return result satisfies never;
  }
}

/** Logs an attempt that ended without a response. */
export function logFailedAttempt(
  {log}: GatewayContext,
  request: string,
  upstream: string,
  result: Exclude<EndedAttempt, {kind: 'answered'}>,
): void {
  const reason = result.kind === 'broken' ? 'broken' : result.reason;
  log.logFailure(
    {event: 'attempt', request, upstream, reason, detail: result.detail},
    'attempt failed',
  );
}
