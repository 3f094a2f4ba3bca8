/** How a crashing request stands in the store. */

import type {CrashRecord} from '../decisions/quarantine/index.js';
import type {Milliseconds} from '../time/index.js';
import {decodeRecord, encodeRecord} from './codec.js';

/** A topic of the system's own; keeps the newest record of each fingerprint. */
export const CRASH_TOPIC = 'keyed.crashes';

/** @param unixNow Unix time: ages must hold from one start of a host to the next */
export function encodeStored(
  record: CrashRecord,
  unixNow: Milliseconds,
): string {
  return JSON.stringify({at: unixNow, row: encodeRecord(record)});
}

/** Empty for what another program, or another version, has written. */
export function decodeStored(
  value: string | undefined,
  unixNow: Milliseconds,
): readonly CrashRecord[] {
  if (value === undefined) {
    return [];
  }
  try {
    const {at, row} = JSON.parse(value) as {at?: unknown; row?: unknown};
    const sinceMs = Math.max(0, unixNow - Number(at));
    const record = decodeRecord(row);
    return record && Number.isFinite(sinceMs)
      ? [withAddedAge(record, sinceMs)]
      : [];
  } catch {
    // No JSON: it names no request.
    return [];
  }
}

function withAddedAge(record: CrashRecord, byMs: Milliseconds): CrashRecord {
  const {crashes, survivedAgeMs} = record;
  return {
    ...record,
    crashes: crashes.map(({life, ageMs}) => ({life, ageMs: ageMs + byMs})),
    survivedAgeMs:
      survivedAgeMs === undefined ? undefined : survivedAgeMs + byMs,
  };
}
