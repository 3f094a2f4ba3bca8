/** Bounds and intervals for the rate limits that upstreams announce. */

import type {Milliseconds} from '../../time/index.js';

/**
 * In any interval of WINDOW_MS, an upstream tolerates OVERAGE times its limit plus
 * SLACK requests.
 */
export const OVERAGE = 1.5;
export const SLACK = 5;
export const WINDOW_MS: Milliseconds = 4_000;
/**
 * Maximum difference in transit time: requests sent further apart than the window
 * may arrive within it.
 */
export const TRANSIT_MS: Milliseconds = 250;

/**
 * Maximum number of hosts that share an upstream's limit. All of them may send at
 * the same moment, so more of them could exceed the slack of a small limit.
 */
export const MAX_SENDERS = 4;
/**
 * Burst size of all senders of an upstream together, so that they use the limit
 * even if requests arrive unevenly.
 */
export const BURST_REQUESTS = 3;
/** Minimum burst tolerance of a sender, as a fraction of its interval. */
export const MIN_BURST_TOLERANCE = 0.25;
/**
 * Assumed ratio of a data centre's host count to the average, where it has more
 * hosts than each of them knows.
 */
export const DATA_CENTRE_SKEW = 2;

/**
 * A limit that no response has confirmed for this time may have ended. Hosts that
 * don't send to the upstream learn of its responses by gossip several times within it.
 */
export const STALE_LIMIT_MS: Milliseconds = 15_000;
/**
 * Mean interval between requests, of all hosts together, that check whether a stale
 * limit still applies.
 */
export const RECHECK_INTERVAL_MS: Milliseconds = 20_000;

/** An ended limit is remembered for this time, as old reports may still arrive. */
export const ENDED_LIMIT_MEMORY_MS: Milliseconds = 30_000;
/** Tolerance for message transit time when the ages of two records are compared. */
export const AGE_TOLERANCE_MS: Milliseconds = 100;
