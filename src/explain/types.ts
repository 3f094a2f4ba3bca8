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
  /** The host whose tunnel was used. */
  via: z.string().optional(),
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

/** Why the quota of the customer or overload control refused a request. */
const ADMISSION = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('over-quota'),
    retryAfterMs: z.number(),
    source: z.string(),
    ageMs: z.number(),
  }),
  z.object({
    kind: z.literal('shed'),
    retryAfterMs: z.number(),
    planAgeMs: z.number(),
    share: z.number(),
  }),
]);

/** Why no route was found. */
const MISS = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('no-route-for-host')}),
  z.object({kind: z.literal('no-matching-prefix')}),
  z.object({kind: z.literal('route-removed'), version: z.number()}),
]);

/** What the host knew of the configuration. */
const CONFIGURATION = z.object({
  reader: z.string().optional(),
  position: z.number().optional(),
  readMsAgo: z.number().optional(),
  newest: z
    .object({
      end: z.number(),
      position: z.number().optional(),
      version: z.number().optional(),
    })
    .optional(),
});

/** Logged by an entry host when it has sent the final response to a request. */
export const REQUEST_LINE = z.object({
  event: z.literal('request'),
  /** Time of the line, in ms since 1970. */
  time: z.number().optional(),
  /** Empty if the caller sent no id. */
  request: z.string().default(''),
  outcome: z.string(),
  route: z.string().optional(),
  service: z.string().optional(),
  method: z.string().optional(),
  target: z.string().optional(),
  ms: z.number().optional(),
  leftMs: z.number().optional(),
  targetMs: z.number().optional(),
  /** Name of the customer that sent it. */
  customer: z.string().optional(),
  /** A form that this version doesn't know must not hide the rest of the line. */
  admission: ADMISSION.optional().catch(undefined),
  fingerprint: z.string().optional(),
  told: z.array(REPORTED_UPSTREAM).optional(),
  limits: z.array(LIMIT).optional(),
  backoffs: z.array(BACKOFF).optional(),
  host: z.string().optional(),
  miss: MISS.optional().catch(undefined),
  configuration: CONFIGURATION.optional().catch(undefined),
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

/** Logged by a host that left out lines to bound their number. */
export const DROPPED_LINES_LINE = z.object({
  event: z.literal('log'),
  dropped: z.number(),
});

export const LOG_LINE = z.discriminatedUnion('event', [
  REQUEST_LINE,
  FAILED_ATTEMPT_LINE,
  BROKEN_ATTEMPT_LINE,
  UPSTREAM_LINE,
  ACTIVITY_LINE,
  DROPPED_LINES_LINE,
]);

export type AttemptEntry = Readonly<z.infer<typeof ATTEMPT_ENTRY>>;
export type RequestLine = Readonly<z.infer<typeof REQUEST_LINE>>;
export type BrokenAttemptLine = Readonly<z.infer<typeof BROKEN_ATTEMPT_LINE>>;
export type ActivityLine = Readonly<z.infer<typeof ACTIVITY_LINE>>;
export type Admission = Readonly<z.infer<typeof ADMISSION>>;
export type RouteMiss = Readonly<z.infer<typeof MISS>>;
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
