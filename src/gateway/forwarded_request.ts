/** Converts a caller's request for forwarding to an upstream. */

import type {IncomingMessage} from 'node:http';
import type {RequestBody} from '../http/index.js';
import {filterHeaders} from '../http/index.js';
import {HEADERS} from '../platform/index.js';
import type {ForwardedRequest} from '../upstreams/index.js';

/** Headers that this host sets itself, or that apply to this hop only. */
const REPLACED_HEADERS: ReadonlySet<string> = new Set([
  HEADERS.customer,
  HEADERS.timeLeft,
  HEADERS.expectedUpstream,
  'content-length',
  'expect',
]);

/** The same where callers have keys, which are secret from upstreams. */
const REPLACED_WITH_KEYS: ReadonlySet<string> = new Set([
  ...REPLACED_HEADERS,
  'authorization',
]);

/** Who sent the request. */
export interface Sender {
  /** Name of the customer; undefined if it is not known. */
  readonly customer: string | undefined;
  /** Whether callers have keys. */
  readonly hasKeys: boolean;
}

export function forwardedRequest(
  {method = 'GET', url: target = '/', rawHeaders}: IncomingMessage,
  id: string,
  body: RequestBody,
  {customer, hasKeys}: Sender,
): ForwardedRequest {
  const headers = filterHeaders(
    rawHeaders,
    hasKeys ? REPLACED_WITH_KEYS : REPLACED_HEADERS,
  );
  if (customer !== undefined) {
    headers.push(HEADERS.customer, customer);
  }
  return {id, method, target, headers, body};
}
