/** Intervals and limits of the gossip between hosts. */

import type {Milliseconds} from '../../time/index.js';

/** New records are collected for this time and sent together. */
export const BATCH_DELAY_MS: Milliseconds = 10;
/**
 * Peers to which each host forwards a record that is new to it. The few hosts that
 * all others miss receive it by anti-entropy.
 */
export const FANOUT = 8;
/** Known records are sent again at this interval, for hosts that missed them, ... */
export const ANTI_ENTROPY_INTERVAL_MS: Milliseconds = 500;
/** ... to so many peers, so that each host receives them twice per interval on average. */
export const ANTI_ENTROPY_FANOUT = 2;
/** Maximum number of records in an anti-entropy round or an answer, latest first. */
export const MAX_SYNC_RECORDS = 64;
/** Maximum number of records per datagram, so that it isn't fragmented. */
export const MAX_RECORDS_PER_DATAGRAM = 8;
/** A host that starts queries peers for their records at this interval, ... */
export const QUERY_INTERVAL_MS: Milliseconds = 100;
/** ... so many at once, ... */
export const QUERY_FANOUT = 3;
/** ... until one answers or this time is over; then anti-entropy brings the records. */
export const QUERY_TIMEOUT_MS: Milliseconds = 5_000;
