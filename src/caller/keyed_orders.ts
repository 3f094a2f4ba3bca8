/** Orders that their callers name: claimed before they are served. */

import {createHash} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import type {KeyedOrder, RecordedResponse} from '../decisions/claims/index.js';
import type {DispatchRequest, Outcome} from '../decisions/dispatch/index.js';
import {REPLAYED_HEADER} from '../http/index.js';
import type {ProblemReason} from '../http/index.js';
import type {RequestBody} from '../http/index.js';

/** What names an order. */
export interface OrderIdentity {
  readonly service: string;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly url: string;
  readonly body: RequestBody;
  readonly dispatch: DispatchRequest;
}

/** Outcome to tell with each reason that a claim is refused for. */
export const CLAIM_REFUSAL_OUTCOMES: Readonly<
  Partial<Record<ProblemReason, Outcome>>
> = {
  'claims-unavailable': 'not-run',
  'key-reused': 'not-run',
  'order-in-progress': 'unknown',
  'order-outcome-unknown': 'unknown',
  'order-done': 'unknown',
};

/** Digests of a name; callers' keys themselves stay off the log. */
export function toKeyedOrder(name: OrderIdentity): KeyedOrder {
  const {service, idempotencyKey, method, url, body, dispatch} = name;
  const content = body.kind === 'held' ? body.bytes : body.kind;
  return {
    key: digest(service, dispatch.tenant, idempotencyKey),
    fingerprint: digest(method, url, content),
    deadlineAt: dispatch.deadlineAt,
  };
}

/** Answers with what the order's first run was answered. */
export function replayResponse(
  response: ServerResponse,
  {status, contentType, body}: RecordedResponse,
): void {
  const bytes = Buffer.from(body ?? '', 'base64');
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': bytes.length,
    [REPLAYED_HEADER]: 'true',
  });
  response.end(bytes);
}

/** Parts are separated by length, so that no two lists run together. */
function digest(...parts: readonly (string | Buffer)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(`${part.length}:`).update(part);
  }
  return hash.digest('base64url').slice(0, 22);
}
