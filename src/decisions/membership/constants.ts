import type {Milliseconds} from '../../time/index.js';

export const EXCHANGE_INTERVAL_MS: Milliseconds = 1_000;
export const PEERS_PER_EXCHANGE = 2;
/** Bounded, so that the size of a message doesn't grow with the fleet. */
export const STATEMENTS_PER_MESSAGE = 12;
/** In a small fleet, a peer without a new statement for this time counts as failed. */
export const FAILED_AFTER_MS: Milliseconds = 4_000;
/**
 * In a large fleet, this time for each known peer: messages don't grow with the fleet,
 * so statements of each peer arrive less often.
 */
export const FAILED_AFTER_PER_PEER_MS: Milliseconds = 250;
/** A peer without a new statement for this time is removed. */
export const FORGOTTEN_AFTER_MS: Milliseconds = 300_000;
/** A host appends its seat record again after this time. */
export const SEAT_RENEWAL_INTERVAL_MS: Milliseconds = 20_000;
/** A seat not renewed for this time, by the log's clock, expires. */
export const SEAT_EXPIRY_MS: Milliseconds = 24 * 3_600_000;
