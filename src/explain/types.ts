import {z} from 'zod';

const LOAD = z.object({
  running: z.number(),
  waiting: z.number(),
  slots: z.number(),
  slowness: z.number(),
});

const ATTEMPT_ENTRY = z.object({
  upstream: z.string(),
  near: z.boolean(),
  load: LOAD.optional(),
  loadAgeMs: z.number().nullish(),
  healthy: z.boolean(),
  atMs: z.number(),
  result: z.string(),
  ms: z.number(),
});

/** Load that an upstream had reported when a request was refused. */
const REPORTED_UPSTREAM = z.object({
  id: z.string(),
  report: LOAD.optional(),
  healthy: z.boolean(),
});

/** Rate limit that prevented attempts at an upstream. */
const LIMIT = z.object({
  upstream: z.string(),
  perSecond: z.number(),
  ageMs: z.number(),
});

/** Backoff that prevented attempts at an upstream. */
const BACKOFF = z.object({upstream: z.string(), leftMs: z.number()});

/** Logged by an entry host when it has sent the final response to a request. */
export const REQUEST_LINE = z.object({
  event: z.literal('request'),
  /** Time of the line, in ms since 1970. */
  time: z.number().optional(),
  request: z.string(),
  outcome: z.string(),
  route: z.string().optional(),
  service: z.string().optional(),
  method: z.string().optional(),
  target: z.string().optional(),
  ms: z.number().optional(),
  leftMs: z.number().optional(),
  targetMs: z.number().optional(),
  fingerprint: z.string().optional(),
  told: z.array(REPORTED_UPSTREAM).optional(),
  limits: z.array(LIMIT).optional(),
  backoffs: z.array(BACKOFF).optional(),
  sends: z.array(ATTEMPT_ENTRY).default([]),
  version: z.number().optional(),
  ageMs: z.number().nullish(),
});

/** Logged when an attempt fails. */
export const FAILED_ATTEMPT_LINE = z.object({
  event: z.literal('attempt'),
  request: z.string(),
  upstream: z.string(),
  reason: z.string(),
  detail: z.string(),
});

/** Logged when an attempt breaks off; says whether its upstream still exists. */
export const BROKEN_ATTEMPT_LINE = z.object({
  event: z.literal('broken-send'),
  request: z.string(),
  /** Identical for all arrivals of the same request, at all hosts. */
  fingerprint: z.string(),
  upstream: z.string(),
  presence: z.enum(['present', 'ended', 'unknown']),
});

/** Logged when an upstream is added, is leaving or is removed. */
export const UPSTREAM_LINE = z.object({
  event: z.literal('upstream'),
  upstream: z.string(),
  state: z.string(),
});

/** Logged by a host each second, with its counts of that second. */
export const ACTIVITY_LINE = z.object({
  event: z.literal('activity'),
  time: z.number().optional(),
  probes: z.number(),
  requests: z.number(),
  looking: z.number(),
});

export const LOG_LINE = z.discriminatedUnion('event', [
  REQUEST_LINE,
  FAILED_ATTEMPT_LINE,
  BROKEN_ATTEMPT_LINE,
  UPSTREAM_LINE,
  ACTIVITY_LINE,
]);

export type AttemptEntry = Readonly<z.infer<typeof ATTEMPT_ENTRY>>;
export type RequestLine = Readonly<z.infer<typeof REQUEST_LINE>>;
export type BrokenAttemptLine = Readonly<z.infer<typeof BROKEN_ATTEMPT_LINE>>;
export type ActivityLine = Readonly<z.infer<typeof ACTIVITY_LINE>>;
export type ReportedUpstream = Readonly<z.infer<typeof REPORTED_UPSTREAM>>;
export type LogLine = Readonly<z.infer<typeof LOG_LINE>>;

/** A log line, and the text before its JSON: a time, a host, or nothing. */
export interface LocatedLine {
  readonly origin: string;
  readonly line: LogLine;
}

/** Parsed lines of a log, and counts of the rows that could not be parsed. */
export interface ParsedLog {
  readonly lines: readonly LocatedLine[];
  /** Rows that contain the beginning of a JSON line only. */
  readonly truncatedRows: number;
  /** Rows that are not log lines of a host. */
  readonly foreignRows: number;
}
