/** Which headers are forwarded, and which are consumed at this hop. */

import {filterHeaders, findHeader} from '../http/index.js';
import type {RawHeaders} from '../transport/index.js';
import {
  DEPTH_HEADER,
  HANDOVER_HEADER,
  LOAD_HEADER,
  TIMEOUT_HEADER,
} from '../http/index.js';

/** Request headers that this host replaces or drops. */
const REWRITTEN_HEADERS: ReadonlySet<string> = new Set([
  TIMEOUT_HEADER,
  DEPTH_HEADER,
  HANDOVER_HEADER,
]);

/** Response headers meant for this host only. */
const CONSUMED_RESPONSE_HEADERS: ReadonlySet<string> = new Set([LOAD_HEADER]);

const NO_HEADERS: ReadonlySet<string> = new Set();

/** The headers of a request without those of this hop. */
export function requestHeaders(raw: RawHeaders): string[] {
  return filterHeaders(raw, REWRITTEN_HEADERS);
}

/** The headers of a response without those of this hop. */
export function responseHeaders(raw: RawHeaders): string[] {
  return filterHeaders(raw, CONSUMED_RESPONSE_HEADERS);
}

/** Headers of a home host's response; `responseHeaders` filtered them there. */
export function handoverResponseHeaders(raw: RawHeaders): string[] {
  return filterHeaders(raw, NO_HEADERS);
}

/**
 * Requests in flight at the upstream, from a load report in ORCA's text format,
 * e.g. `TEXT named_metrics.in_flight=3`. Undefined if not reported.
 */
export function readLoad(raw: RawHeaders): number | undefined {
  const text = findHeader(raw, LOAD_HEADER);
  const found = text && /named_metrics\.in_flight=([0-9.]+)/.exec(text);
  const load = found ? Number(found[1]) : NaN;
  return Number.isFinite(load) ? load : undefined;
}
