/** Handles raw headers: alternating names and values from Node's parser. */

import type {RawHeaders} from '../transport/index.js';

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

const NO_NAMES: ReadonlySet<string> = new Set();

/** @param name in lower case */
export function findHeader(raw: RawHeaders, name: string): string | undefined {
  for (let i = 0; i < raw.length; i += 2) {
    if (raw[i]?.toLowerCase() === name) {
      return raw[i + 1];
    }
  }
  return undefined;
}

/**
 * How often a header occurs. Node's `headersDistinct` throws for a header named
 * `__proto__` before Node 20.20.2.
 *
 * @param name in lower case
 */
export function countHeaders(raw: RawHeaders, name: string): number {
  let count = 0;
  for (let i = 0; i < raw.length; i += 2) {
    count += raw[i]?.toLowerCase() === name ? 1 : 0;
  }
  return count;
}

/** Removes hop-by-hop headers and the unwanted ones (in lower case). */
export function filterHeaders(
  raw: RawHeaders,
  unwanted: ReadonlySet<string>,
): string[] {
  const named = namesInConnectionHeader(raw);
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

/** `Connection: x` makes header x hop-by-hop. */
function namesInConnectionHeader(raw: RawHeaders): ReadonlySet<string> {
  const value = findHeader(raw, 'connection');
  if (!value || value === 'keep-alive' || value === 'close') {
    return NO_NAMES;
  }
  return new Set(value.split(',').map(name => name.trim().toLowerCase()));
}
