/** Names and values of the platform's HTTP headers. */

import type {IncomingHttpHeaders} from 'node:http';
import type {LoadReport} from '../decisions/placement/index.js';
import type {Milliseconds} from '../time/index.js';

/** In lower case, as Node's parser returns them. */
export const HEADERS = {
  requestId: 'cyclamenlever-request-id',
  /** Milliseconds for which the sender still waits. */
  timeLeft: 'cyclamenlever-deadline-ms',
  /** Id of the intended upstream; any other refuses with 421. */
  expectedUpstream: 'cyclamenlever-expect-instance',
  /** Id of the responding upstream. */
  upstream: 'cyclamenlever-instance-id',
  /** Signature without which a successful response is not valid. */
  signature: 'cyclamenlever-server-stamp',
  /** Present if the upstream has not run the request. */
  notRun: 'cyclamenlever-not-executed',
  load: 'cyclamenlever-server-load',
  /** How much longer the upstream is cold, in ms; in health responses. */
  coldLeft: 'cyclamenlever-warmup-ms',
  /** Name of the customer that sent the request; set by hosts only. */
  customer: 'cyclamenlever-tenant-id',
  /** Requests per second that the upstream accepts from all hosts together. */
  rateLimit: 'server-limit',
  /** 1 in all responses of an upstream that is leaving. */
  leaving: 'server-leaving',
} as const;

export const READINESS_PATH = '/api/readiness';
/** An upstream that isn't the expected one sends it and doesn't run the request. */
export const WRONG_UPSTREAM_STATUS = 421;

const DEFAULT_TIME_LEFT_MS: Milliseconds = 60_000;
const NORMAL_DURATION_PERCENT = 100;

export const PLATFORM_HEADERS: ReadonlySet<string> = new Set(
  Object.values(HEADERS),
);

/** For how long the caller waits; the default if the header is missing or malformed. */
export function readTimeLeft(headers: IncomingHttpHeaders): Milliseconds {
  const leftMs = Number(headers[HEADERS.timeLeft] ?? NaN);
  return leftMs >= 0 ? leftMs : DEFAULT_TIME_LEFT_MS;
}

/** How much longer an upstream is cold; 0 when the header is missing or malformed. */
export function readColdMs(headers: IncomingHttpHeaders): Milliseconds {
  const leftMs = Number(headers[HEADERS.coldLeft] ?? 0);
  return Number.isFinite(leftMs) && leftMs > 0 ? leftMs : 0;
}

/**
 * Parses running, waiting, slots and optionally the run time in percent of the
 * usual one. Undefined when the header is missing or malformed.
 */
export function readLoad(headers: IncomingHttpHeaders): LoadReport | undefined {
  const text = headers[HEADERS.load];
  if (typeof text !== 'string') {
    return undefined;
  }
  const figures = text.split(',').map(Number);
  const [running = NaN, waiting = NaN, slots = NaN] = figures;
  const percent = figures[3] ?? NORMAL_DURATION_PERCENT;
  const sound = [running, waiting, slots, percent].every(
    figure => Number.isFinite(figure) && figure >= 0,
  );
  return sound && slots > 0 && percent > 0
    ? {running, waiting, slots, slowness: percent / NORMAL_DURATION_PERCENT}
    : undefined;
}

export type RateLimitHeader =
  | {readonly kind: 'valid'; readonly perSecond: number}
  | {readonly kind: 'absent'}
  | {readonly kind: 'malformed'; readonly text: string};

const DECIMAL = /^\d{1,15}(\.\d{1,15})?$/;

/** A repeated header is malformed: its joined values aren't a decimal number. */
export function readRateLimit(headers: IncomingHttpHeaders): RateLimitHeader {
  const header = headers[HEADERS.rateLimit];
  if (header === undefined) {
    return {kind: 'absent'};
  }
  const text = String(header);
  return DECIMAL.test(text)
    ? {kind: 'valid', perSecond: Number(text)}
    : {kind: 'malformed', text};
}

/** Retry-After in the headers of a response that refuses a request. */
export type RetryAfterHeader =
  | {readonly kind: 'valid'; readonly forMs: Milliseconds}
  | {readonly kind: 'absent'}
  | {readonly kind: 'malformed'; readonly text: string};

const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);
const MS_PER_SECOND = 1_000;

/** Accepts only a number of seconds, as the platform doesn't send HTTP dates. */
export function readRetryAfter(
  status: number,
  headers: IncomingHttpHeaders,
): RetryAfterHeader {
  const text = headers['retry-after'];
  if (text === undefined || !REFUSAL_STATUSES.has(status)) {
    return {kind: 'absent'};
  }
  return DECIMAL.test(text)
    ? {kind: 'valid', forMs: Number(text) * MS_PER_SECOND}
    : {kind: 'malformed', text};
}

/** Whether a response announces that its upstream is leaving. */
export type LeavingHeader = 'leaving' | 'absent' | 'malformed';

const LEAVING_VALUE = '1';

export function readLeaving(headers: IncomingHttpHeaders): LeavingHeader {
  const header = headers[HEADERS.leaving];
  if (header === undefined) {
    return 'absent';
  }
  return header === LEAVING_VALUE ? 'leaving' : 'malformed';
}
