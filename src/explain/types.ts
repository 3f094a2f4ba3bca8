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

/** What an upstream told when there was no room. */
const REPORTED_UPSTREAM = z.object({
  id: z.string(),
  report: LOAD.optional(),
  healthy: z.boolean(),
});

/** A rate limit that prevented sends to an upstream. */
const LIMIT = z.object({
  upstream: z.string(),
  perSecond: z.number(),
  ageMs: z.number(),
});

/** A backoff that prevented sends to an upstream. */
const BACKOFF = z.object({upstream: z.string(), leftMs: z.number()});

/** The line that an entry host writes when a request has its final answer. */
export const REQUEST_LINE = z.object({
  event: z.literal('request'),
  /** When it was written, in ms since 1970. */
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

/** The line about a send that failed. */
export const FAILED_ATTEMPT_LINE = z.object({
  event: z.literal('attempt'),
  request: z.string(),
  upstream: z.string(),
  reason: z.string(),
  detail: z.string(),
});

/** The line about what became of an upstream as a send to it broke off. */
export const BROKEN_ATTEMPT_LINE = z.object({
  event: z.literal('broken-send'),
  request: z.string(),
  /** The same for all arrivals of one request, at all hosts. */
  fingerprint: z.string(),
  upstream: z.string(),
  presence: z.enum(['present', 'ended', 'unknown']),
});

/** The line about an upstream that appeared, leaves or is gone. */
export const UPSTREAM_LINE = z.object({
  event: z.literal('upstream'),
  upstream: z.string(),
  state: z.string(),
});

/** What a host did in the last second. */
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

/** A line, and what stood before its JSON: a time, a host, or nothing. */
export interface LocatedLine {
  readonly origin: string;
  readonly line: LogLine;
}

/** The lines of some logs, and how many rows were none. */
export interface ParsedLog {
  readonly lines: readonly LocatedLine[];
  /** Rows that begin like a line and don't end like one. */
  readonly truncatedRows: number;
  /** Rows that no host wrote. */
  readonly foreignRows: number;
}
