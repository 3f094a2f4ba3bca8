/** What the result of a send means for the request and for the upstream. */

import type {AttemptEnd} from '../decisions/attempts/index.js';
import type {UpstreamFailure} from '../decisions/placement/index.js';
import type {AttemptResult} from '../upstreams/index.js';

type EndedAttempt = Exclude<AttemptResult, {kind: 'long' | 'cancelled'}>;

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

/** What is remembered against the upstream; undefined when all went well. */
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
