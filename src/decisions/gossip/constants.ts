/** Intervals and limits of the gossip between hosts. */

import type {Milliseconds} from '../../time/index.js';

/** Reports of one moment are told together after this time. */
export const BATCH_DELAY_MS: Milliseconds = 10;
/**
 * Hosts that are told of each change, by each host that learns it. The few that all
 * others miss hear of it by a reminder.
 */
export const FANOUT = 8;
/** Known records are sent again this often, for hosts that missed them, ... */
export const ANTI_ENTROPY_INTERVAL_MS: Milliseconds = 500;
/** ... to so many, so that each host is reminded twice in this time on average. */
export const ANTI_ENTROPY_FANOUT = 2;
/** Maximum number of records in a reminder or an answer, latest first. */
export const MAX_SYNC_RECORDS = 64;
/** Maximum number of records per datagram, so that it isn't fragmented. */
export const MAX_RECORDS_PER_DATAGRAM = 8;
/** A host that starts asks others for what they know this often, ... */
export const QUERY_INTERVAL_MS: Milliseconds = 100;
/** ... so many at once, ... */
export const QUERY_FANOUT = 3;
/** ... until one has answered or this time is over: then it is reminded. */
export const QUERY_TIMEOUT_MS: Milliseconds = 5_000;
