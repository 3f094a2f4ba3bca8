/** Responses that the load balancer generates itself: problem details (RFC 9457). */

import type {ServerResponse} from 'node:http';
import {abortResponse} from './abort_response.js';
import type {Outcome, RefusalReason} from '../decisions/dispatch/index.js';
import type {Milliseconds} from '../time/index.js';
import {OUTCOME_HEADER, REASON_HEADER} from './constants.js';

export type ProblemReason =
  | RefusalReason
  | 'bad-request'
  | 'uri-too-long'
  | 'loop-detected'
  | 'method-not-allowed'
  | 'expectation-failed'
  | 'unknown-service'
  | 'not-ready'
  | 'claims-unavailable'
  | 'order-in-progress'
  | 'order-outcome-unknown'
  | 'order-done'
  | 'key-reused'
  | 'request-body-broken'
  | 'request-timeout'
  | 'unknown-route'
  | 'newer-configuration'
  | 'unusable-route'
  | 'body-too-large'
  | 'headers-too-large'
  | 'no-room'
  | 'quarantined'
  | 'waited-too-long'
  | 'unknown-key'
  | 'over-quota'
  | 'shed'
  | 'host-busy'
  | 'internal-error';

interface ProblemKind {
  readonly status: number;
  readonly title: string;
}

const PROBLEMS: Readonly<Record<ProblemReason, ProblemKind>> = {
  'queue-full': {status: 503, title: 'Too many requests are waiting'},
  'cannot-meet-deadline': {
    status: 503,
    title: 'The deadline could not be met',
  },
  'deadline-passed': {status: 504, title: 'The deadline passed while waiting'},
  'no-upstream': {
    status: 503,
    title: 'The service has no upstream that takes requests',
  },
  'upstreams-refused': {status: 503, title: 'Upstreams took no request'},
  'attempt-broken': {status: 502, title: 'No whole answer came'},
  'attempt-timed-out': {status: 504, title: 'The upstream did not answer'},
  'bad-request': {status: 400, title: 'The request is ambiguous or broken'},
  'uri-too-long': {status: 414, title: 'The URL is too long'},
  'loop-detected': {status: 508, title: 'Too many calls deep'},
  'method-not-allowed': {status: 405, title: 'The method is not supported'},
  'expectation-failed': {status: 417, title: 'Expect is not supported'},
  'unknown-service': {status: 404, title: 'No service has this host name'},
  'not-ready': {status: 503, title: 'This entry host is not in service'},
  'claims-unavailable': {
    status: 503,
    title: 'The order could not be claimed',
  },
  'order-in-progress': {status: 409, title: 'The same order is being run'},
  'order-outcome-unknown': {
    status: 409,
    title: 'The same order was sent before; its outcome is not known',
  },
  'order-done': {
    status: 409,
    title: 'The same order ran before; its answer was not kept',
  },
  'key-reused': {
    status: 422,
    title: 'The idempotency key belongs to another order',
  },
  'request-body-broken': {status: 400, title: 'The body did not arrive whole'},
  'unknown-route': {status: 404, title: 'No route leads there'},
  'newer-configuration': {
    status: 503,
    title: 'A newer configuration is known and not in force here',
  },
  'unusable-route': {
    status: 503,
    title: 'The configuration of this route can’t be used',
  },
  'body-too-large': {status: 413, title: 'The body is too large'},
  'headers-too-large': {status: 431, title: 'The headers are too large'},
  'no-room': {status: 503, title: 'No upstream has room'},
  quarantined: {
    status: 503,
    title: 'Upstreams crashed under this request',
  },
  'waited-too-long': {status: 503, title: 'No upstream was free in time'},
  'unknown-key': {status: 401, title: 'The key is missing or not valid'},
  'over-quota': {status: 429, title: 'The quota of the customer is used up'},
  shed: {
    status: 503,
    title: 'The service is overloaded and serves others first',
  },
  'host-busy': {status: 503, title: 'This entry host is busy: try another'},
  'internal-error': {status: 500, title: 'This entry host failed'},
  'request-timeout': {status: 408, title: 'The request arrived too slowly'},
};

/** Required with 401 (RFC 9110, 15.5.2). */
const UNAUTHORIZED = 401;
const CHALLENGE = 'Bearer';

const REMEDIES: Readonly<Record<Outcome, string>> = {
  'not-run': 'It was not run: it may be sent again.',
  unknown: 'It may have run: ask for its state before sending it again.',
};

export interface Problem {
  readonly reason: ProblemReason;
  readonly outcome: Outcome;
  readonly detail?: string;
  readonly retryAfterMs?: Milliseconds;
  /** Whether callers accept fractions of a second in Retry-After. */
  readonly fractionalRetryAfter?: boolean;
}

/** Sends the problem; destroys the connection if a response has already begun. */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  if (response.headersSent || response.destroyed) {
    abortResponse(response);
    return;
  }
  const {status, title} = PROBLEMS[problem.reason];
  const body = Buffer.from(
    JSON.stringify({
      type: `urn:cyclamenlever:${problem.reason}`,
      title,
      status,
      detail: problem.detail,
      outcome: problem.outcome,
      remedy: REMEDIES[problem.outcome],
    }),
  );
  response.statusCode = status;
  response.setHeader('content-type', 'application/problem+json');
  if (status === UNAUTHORIZED) {
    response.setHeader('www-authenticate', CHALLENGE);
  }
  response.setHeader('content-length', body.length);
  response.setHeader(OUTCOME_HEADER, problem.outcome);
  response.setHeader(REASON_HEADER, problem.reason);
  if (problem.retryAfterMs !== undefined) {
    const seconds = problem.retryAfterMs / 1000;
    response.setHeader(
      'retry-after',
      problem.fractionalRetryAfter
        ? seconds.toFixed(2)
        : Math.max(1, Math.ceil(seconds)),
    );
  }
  response.end(body);
}
