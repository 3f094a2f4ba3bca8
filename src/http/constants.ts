import type {Milliseconds} from '../time/index.js';

/** Whether the request certainly has not run, or may have run. */
export const OUTCOME_HEADER = 'cyclamenlever-outcome';
/** Reason for a response that the load balancer generates itself. */
export const REASON_HEADER = 'cyclamenlever-reason';
/** Time until the caller's deadline in ms; relative, so clocks need not agree. */
export const TIMEOUT_HEADER = 'cyclamenlever-timeout-ms';
/** Number of nested calls that led to this one. */
export const DEPTH_HEADER = 'cyclamenlever-depth';
/** Set by an entry host that forwards a request to a home host. */
export const HANDOVER_HEADER = 'cyclamenlever-handover';
/** Marks a response that was recorded when the non-idempotent request first ran. */
export const REPLAYED_HEADER = 'cyclamenlever-replayed';
export const IDEMPOTENCY_HEADER = 'idempotency-key';
/** Load that an upstream reports in its responses (ORCA). */
export const LOAD_HEADER = 'endpoint-load-metrics';

/** Requests nested deeper than this are refused as a loop. */
export const MAX_CALL_DEPTH = 18;
export const MAX_URL_BYTES = 8_192;
export const MAX_HEADER_BYTES = 16_384;
/** Bodies up to this size are buffered, so that slow senders occupy no slot. */
export const DEFAULT_BUFFERED_BODY_BYTES = 65_536;
export const HEADERS_TIMEOUT_MS: Milliseconds = 10_000;
/** Limit for the whole request, with its body. */
export const REQUEST_TIMEOUT_MS: Milliseconds = 60_000;
/** Above the usual 60 s of a load balancer in front, so that it closes first. */
export const KEEP_ALIVE_TIMEOUT_MS: Milliseconds = 65_000;
export const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
