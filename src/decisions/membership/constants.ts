import type {Milliseconds} from '../../time/index.js';

/** Time between exchanges with peers. */
export const EXCHANGE_INTERVAL_MS: Milliseconds = 1_000;
/** Peers that a host exchanges with each time. */
export const PEERS_PER_EXCHANGE = 2;
/** Statements in one message, so that its size doesn't grow with the fleet. */
export const STATEMENTS_PER_MESSAGE = 12;
/** A peer not heard of for this time counts as failed, in a small fleet. */
export const FAILED_AFTER_MS: Milliseconds = 4_000;
/**
 * And for this time for each known peer in a large one: messages don't grow
 * with the fleet, so news of each peer comes less often.
 */
export const FAILED_AFTER_PER_PEER_MS: Milliseconds = 250;
/** And is forgotten after this one. */
export const FORGOTTEN_AFTER_MS: Milliseconds = 300_000;
/** A host appends its seat again after this time. */
export const SEAT_RENEWAL_INTERVAL_MS: Milliseconds = 20_000;
/** A seat not renewed for this time, by the log's clock, is given up. */
export const SEAT_EXPIRY_MS: Milliseconds = 24 * 3_600_000;
