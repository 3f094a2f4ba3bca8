import type {Milliseconds} from '../time/index.js';

/** Header by which the balancer says what is certain about a request. */
export const OUTCOME_HEADER = 'cyclamenlever-outcome';
/** Header that names the reason of the balancer's own answer. */
export const REASON_HEADER = 'cyclamenlever-reason';
/** Time the caller has left, in ms; relative, so clocks need not agree. */
export const TIMEOUT_HEADER = 'cyclamenlever-timeout-ms';
/** Calls above this one. */
export const DEPTH_HEADER = 'cyclamenlever-depth';
/** Set by an entry host that hands a request to a home host. */
export const HANDOVER_HEADER = 'cyclamenlever-handover';
/** Marks an answer that was recorded at the order's first run. */
export const REPLAYED_HEADER = 'cyclamenlever-replayed';
export const IDEMPOTENCY_HEADER = 'idempotency-key';
/** Load that an upstream reports on its answers (ORCA). */
export const LOAD_HEADER = 'endpoint-load-metrics';

/** Calls deeper than this are a loop. */
export const MAX_CALL_DEPTH = 18;
export const MAX_URL_BYTES = 8_192;
export const MAX_HEADER_BYTES = 16_384;
/** Bodies up to this size are held, so that slow senders hold no slot. */
export const DEFAULT_BUFFERED_BODY_BYTES = 65_536;
/** A caller must send its headers within this time. */
export const HEADERS_TIMEOUT_MS: Milliseconds = 10_000;
/** And the whole request within this one. */
export const REQUEST_TIMEOUT_MS: Milliseconds = 60_000;
/** Above the balancer's usual 60 s, so that it closes idle connections. */
export const KEEP_ALIVE_TIMEOUT_MS: Milliseconds = 65_000;
/** Statuses whose answers never have a body. */
export const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
