/** Converts a caller's request for forwarding to an upstream. */

import type {IncomingMessage} from 'node:http';
import type {RequestBody} from '../http/index.js';
import {filterHeaders} from '../http/index.js';
import {HEADERS} from '../platform/index.js';
import type {ForwardedRequest} from '../upstreams/index.js';

/** Headers that this host sets itself, or that apply to this hop only. */
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
