/**
 * What hosts tell each other of crashing requests, as rows of MessagePack.
 *
 * Checked by hand, as greetings are: a library of schemas makes each start slower.
 */

import {isName, isTime} from '../datagrams/index.js';
import type {CrashRecord} from '../decisions/quarantine/index.js';
import {MAX_CRASHES_PER_REQUEST} from '../decisions/quarantine/index.js';
import type {RecordCodec} from '../gossip/index.js';

type CrashRow = readonly [life: string, ageMs: number];
type RecordRow = readonly [
  fingerprint: string,
  crashes: readonly CrashRow[],
  survivedAgeMs: number | null,
];

export const CRASH_CODEC: RecordCodec<CrashRecord> = {
  encode: encodeRecord,
  decode: decodeRecord,
};

export function encodeRecord(record: CrashRecord): RecordRow {
  const {fingerprint, crashes, survivedAgeMs} = record;
  return [
    fingerprint,
    crashes.map(({life, ageMs}) => [life, Math.round(ageMs)]),
    survivedAgeMs === undefined ? null : Math.round(survivedAgeMs),
  ];
}

/** Returns undefined for an invalid row. */
export function decodeRecord(row: unknown): CrashRecord | undefined {
  if (!Array.isArray(row)) {
    return undefined;
  }
  const [fingerprint, rows, survived] = row as readonly unknown[];
  const isSound =
    isName(fingerprint) &&
    Array.isArray(rows) &&
    rows.length <= MAX_CRASHES_PER_REQUEST &&
    rows.every(isCrashRow) &&
    (survived === null || isTime(survived));
  if (!isSound) {
    return undefined;
  }
  const crashes = rows.map(([life, ageMs]) => ({life, ageMs}));
  return {fingerprint, crashes, survivedAgeMs: survived ?? undefined};
}

function isCrashRow(row: unknown): row is CrashRow {
  return Array.isArray(row) && isName(row[0]) && isTime(row[1]);
}
