/**
 * Validates a caller's request before anything is forwarded.
 *
 * Prevents request smuggling: if the load balancer and the upstream disagree where a
 * request ends, the rest of one caller's bytes becomes the start of another's request.
 * Ambiguous requests are refused. Node's parser already refuses Transfer-Encoding
 * together with Content-Length, and two lengths.
 */

import type {IncomingMessage} from 'node:http';
import {MAX_CALL_DEPTH, MAX_URL_BYTES, DEPTH_HEADER} from './constants.js';
import {MAX_HEADER_COUNT, hasTooManyHeaders} from './head_limits.js';
import type {ProblemReason} from './problem.js';
import {countHeaders} from './raw_headers.js';

/** Why a request is refused. */
export interface RequestFault {
  readonly reason: ProblemReason;
  readonly detail: string;
}

const SUPPORTED_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'POST',
  'PUT',
  'PATCH',
  'DELETE',
  'OPTIONS',
]);

export function findRequestFault(
  request: IncomingMessage,
): RequestFault | undefined {
  const {method = '', url = '', headers} = request;
  if (hasTooManyHeaders(request)) {
    const detail = `over ${MAX_HEADER_COUNT} headers`;
    return {reason: 'headers-too-large', detail};
  }
  if (!SUPPORTED_METHODS.has(method)) {
    return {reason: 'method-not-allowed', detail: `method ${method}`};
  }
  if (url.length > MAX_URL_BYTES) {
    return {reason: 'uri-too-long', detail: `over ${MAX_URL_BYTES} bytes`};
  }
  if (!url.startsWith('/')) {
    return {reason: 'bad-request', detail: 'the target must be a path'};
  }
  if (headers.expect !== undefined) {
    return {reason: 'expectation-failed', detail: 'send without Expect'};
  }
  return findHeaderFault(request);
}

function findHeaderFault(request: IncomingMessage): RequestFault | undefined {
  const {headers, rawHeaders} = request;
  if (countHeaders(rawHeaders, 'host') !== 1) {
    return {reason: 'bad-request', detail: 'send exactly one Host'};
  }
  const coding = headers['transfer-encoding'];
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') {
    return {reason: 'bad-request', detail: `transfer coding ${coding}`};
  }
  const depth = Number(headers[DEPTH_HEADER] ?? 0);
  if (!Number.isInteger(depth) || depth < 0) {
    return {reason: 'bad-request', detail: `${DEPTH_HEADER} is no number`};
  }
  return depth > MAX_CALL_DEPTH
    ? {reason: 'loop-detected', detail: `over ${MAX_CALL_DEPTH} calls deep`}
    : undefined;
}
