/** Which headers go on, and which end at this hop. */

import type {RawHeaders} from '../transport/index.js';
import {
  DEPTH_HEADER,
  HANDOVER_HEADER,
  LOAD_HEADER,
  TIMEOUT_HEADER,
} from './constants.js';

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Replaced by this host on the way to the upstream. */
const REWRITTEN: ReadonlySet<string> = new Set([
  TIMEOUT_HEADER,
  DEPTH_HEADER,
  HANDOVER_HEADER,
]);

/** Meant for this host alone. */
const ANSWER_ONLY: ReadonlySet<string> = new Set([LOAD_HEADER]);

const NONE: ReadonlySet<string> = new Set();

/** Headers of a request without those of this hop. */
export function requestHeaders(raw: RawHeaders): string[] {
  return filterHeaders(raw, REWRITTEN);
}

/** Headers of an answer without those of this hop. */
export function answerHeaders(raw: RawHeaders): string[] {
  return filterHeaders(raw, ANSWER_ONLY);
}

/** Headers of a home host's answer, which has been through `answerHeaders`. */
export function handoverAnswerHeaders(raw: RawHeaders): string[] {
  return filterHeaders(raw, NONE);
}

/** Value of a header by its lower-case name. */
export function findHeader(raw: RawHeaders, name: string): string | undefined {
  for (let i = 0; i < raw.length; i += 2) {
    if (raw[i]?.toLowerCase() === name) {
      return raw[i + 1];
    }
  }
  return undefined;
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

function filterHeaders(
  raw: RawHeaders,
  unwanted: ReadonlySet<string>,
): string[] {
  const named = namedByConnection(raw);
  const kept: string[] = [];
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i] ?? '';
    const lower = name.toLowerCase();
    if (!HOP_BY_HOP.has(lower) && !unwanted.has(lower) && !named.has(lower)) {
      kept.push(name, raw[i + 1] ?? '');
    }
  }
  return kept;
}

/** `Connection: x` makes header x one of this hop. */
function namedByConnection(raw: RawHeaders): ReadonlySet<string> {
  const value = findHeader(raw, 'connection');
  if (!value || value === 'keep-alive' || value === 'close') {
    return NONE;
  }
  return new Set(value.split(',').map(name => name.trim().toLowerCase()));
}
