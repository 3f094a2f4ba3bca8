/**
 * What hosts tell each other of crashing requests, as rows of MessagePack.
 *
 * Checked by hand, as greetings are: a library of schemas makes each start slower.
 */

import {isName, isTime} from '../datagrams/index.js';
import type {CrashNews, CrashRecord} from '../decisions/quarantine/index.js';
import {MOST_CRASHES, MOST_TOLD} from '../decisions/quarantine/index.js';

type CrashRow = readonly [life: string, ageMs: number];
type RecordRow = readonly [
  fingerprint: string,
  crashes: readonly CrashRow[],
  survivedAgeMs: number | null,
];

export function encodeNews(news: CrashNews): unknown {
  return news.kind === 'question'
    ? [news.kind]
    : [news.kind, news.records.map(recordRow)];
}

/** Undefined for what no host of this version sends. */
export function decodeNews(body: unknown): CrashNews | undefined {
  if (!Array.isArray(body)) {
    return undefined;
  }
  const [kind, rows] = body as readonly unknown[];
  if (kind === 'question') {
    return {kind};
  }
  const isKnown = kind === 'report' || kind === 'answer';
  if (!isKnown || !Array.isArray(rows) || rows.length > MOST_TOLD) {
    return undefined;
  }
  const records = rows.flatMap(recordOf);
  return records.length === rows.length ? {kind, records} : undefined;
}

export function recordRow(record: CrashRecord): RecordRow {
  const {fingerprint, crashes, survivedAgeMs} = record;
  return [
    fingerprint,
    crashes.map(({life, ageMs}) => [life, Math.round(ageMs)]),
    survivedAgeMs === undefined ? null : Math.round(survivedAgeMs),
  ];
}

/** Empty for what is no such row. */
export function recordOf(row: unknown): readonly CrashRecord[] {
  if (!Array.isArray(row)) {
    return [];
  }
  const [fingerprint, rows, survived] = row as readonly unknown[];
  const isSound =
    isName(fingerprint) &&
    Array.isArray(rows) &&
    rows.length <= MOST_CRASHES &&
    rows.every(isCrashRow) &&
    (survived === null || isTime(survived));
  if (!isSound) {
    return [];
  }
  const crashes = rows.map(([life, ageMs]) => ({life, ageMs}));
  return [{fingerprint, crashes, survivedAgeMs: survived ?? undefined}];
}

function isCrashRow(row: unknown): row is CrashRow {
  return Array.isArray(row) && isName(row[0]) && isTime(row[1]);
}
