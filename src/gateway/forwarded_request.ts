/** A caller's request as it goes to an upstream. */

import type {IncomingMessage} from 'node:http';
import type {RequestBody} from '../http/index.js';
import {filterHeaders} from '../http/index.js';
import {HEADERS} from '../platform/index.js';
import type {ForwardedRequest} from '../upstreams/index.js';

/** Set by this host on the way to the upstream, or meant for this hop. */
const REPLACED_HEADERS: ReadonlySet<string> = new Set([
  HEADERS.timeLeft,
  HEADERS.expectedUpstream,
  'content-length',
  'expect',
]);

export function forwardedRequest(
  {method = 'GET', url: target = '/', rawHeaders}: IncomingMessage,
  id: string,
  body: RequestBody,
): ForwardedRequest {
  const headers = filterHeaders(rawHeaders, REPLACED_HEADERS);
  return {id, method, target, headers, body};
}
