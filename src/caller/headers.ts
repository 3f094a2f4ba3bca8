/** Which headers go on, and which end at this hop. */

import {filterHeaders, findHeader} from '../http/index.js';
import type {RawHeaders} from '../transport/index.js';
import {
  DEPTH_HEADER,
  HANDOVER_HEADER,
  LOAD_HEADER,
  TIMEOUT_HEADER,
} from '../http/index.js';

/** Replaced by this host on the way to the upstream. */
const REWRITTEN_HEADERS: ReadonlySet<string> = new Set([
  TIMEOUT_HEADER,
  DEPTH_HEADER,
  HANDOVER_HEADER,
]);

/** Meant for this host alone. */
const CONSUMED_RESPONSE_HEADERS: ReadonlySet<string> = new Set([LOAD_HEADER]);

const NO_HEADERS: ReadonlySet<string> = new Set();

/** Headers of a request without those of this hop. */
export function requestHeaders(raw: RawHeaders): string[] {
  return filterHeaders(raw, REWRITTEN_HEADERS);
}

/** Headers of an answer without those of this hop. */
export function responseHeaders(raw: RawHeaders): string[] {
  return filterHeaders(raw, CONSUMED_RESPONSE_HEADERS);
}

/** Headers of a home host's answer, which has been through `answerHeaders`. */
export function handoverResponseHeaders(raw: RawHeaders): string[] {
  return filterHeaders(raw, NO_HEADERS);
}

/**
 * Requests at the upstream, from a load report in ORCA's text form, e.g.
 * `TEXT named_metrics.in_flight=3`. Undefined when it doesn't say.
 */
export function readLoad(raw: RawHeaders): number | undefined {
  const text = findHeader(raw, LOAD_HEADER);
  const found = text && /named_metrics\.in_flight=([0-9.]+)/.exec(text);
  const load = found ? Number(found[1]) : NaN;
  return Number.isFinite(load) ? load : undefined;
}
