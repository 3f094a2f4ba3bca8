import {z} from 'zod';

const LOAD = z.object({
  running: z.number(),
  waiting: z.number(),
  slots: z.number(),
  slowness: z.number(),
});

const SEND = z.object({
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
const TOLD = z.object({
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
  told: z.array(TOLD).optional(),
  limits: z.array(LIMIT).optional(),
  backoffs: z.array(BACKOFF).optional(),
  sends: z.array(SEND).default([]),
  version: z.number().optional(),
  ageMs: z.number().nullish(),
});

/** The line about a send that failed. */
export const ATTEMPT_LINE = z.object({
  event: z.literal('attempt'),
  request: z.string(),
  upstream: z.string(),
  reason: z.string(),
  detail: z.string(),
});

/** The line about what became of an upstream as a send to it broke off. */
export const BROKEN_SEND_LINE = z.object({
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
  ATTEMPT_LINE,
  BROKEN_SEND_LINE,
  UPSTREAM_LINE,
  ACTIVITY_LINE,
]);

export type Send = Readonly<z.infer<typeof SEND>>;
export type RequestLine = Readonly<z.infer<typeof REQUEST_LINE>>;
export type BrokenSendLine = Readonly<z.infer<typeof BROKEN_SEND_LINE>>;
export type ActivityLine = Readonly<z.infer<typeof ACTIVITY_LINE>>;
export type Told = Readonly<z.infer<typeof TOLD>>;
export type LogLine = Readonly<z.infer<typeof LOG_LINE>>;

/** A line, and what stood before its JSON: a time, a host, or nothing. */
export interface LocatedLine {
  readonly origin: string;
  readonly line: LogLine;
}

/** The lines of some logs, and how many rows were none. */
export interface LogText {
  readonly lines: readonly LocatedLine[];
  /** Rows that begin like a line and don't end like one. */
  readonly cut: number;
  /** Rows that no host wrote. */
  readonly foreign: number;
}
