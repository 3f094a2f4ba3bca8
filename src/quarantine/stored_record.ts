/** Format of crash records in the store. */

import type {CrashRecord} from '../decisions/quarantine/index.js';
import type {Milliseconds} from '../time/index.js';
import {decodeRecord, encodeRecord} from './codec.js';

/** A topic of the load balancer's own; keeps the newest record of each fingerprint. */
export const CRASH_TOPIC = 'keyed.crashes';

/** @param unixNow Unix time, as ages must stay correct when hosts restart */
export function encodeStored(
  record: CrashRecord,
  unixNow: Milliseconds,
): string {
  return JSON.stringify({at: unixNow, row: encodeRecord(record)});
}

/** Empty for a value that another program or version has written. */
export function decodeStored(
  value: string | undefined,
  unixNow: Milliseconds,
): readonly CrashRecord[] {
  if (value === undefined) {
    return [];
  }
  try {
    const {at, row} = JSON.parse(value) as {at?: unknown; row?: unknown};
    const storedForMs = Math.max(0, unixNow - Number(at));
    const record = decodeRecord(row);
    return record && Number.isFinite(storedForMs)
      ? [withAddedAge(record, storedForMs)]
      : [];
  } catch {
    // Not JSON, so it names no request.
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
