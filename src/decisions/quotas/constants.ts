/** Intervals and limits of distributed rate limiting, with their reasons. */

import type {Milliseconds} from '../../time/index.js';

/** Unused permits expire after this time, counted from when they were requested. */
export const PERMIT_LIFETIME_MS: Milliseconds = 250;
/** A host requests in advance what it will use in this time, ... */
export const PREFETCH_MS: Milliseconds = 100;
/**
 * ... if that is at least this many permits. For fewer, too many expire unused: an
 * expected 8 in 100 of single permits and under 1 in 100 of three.
 */
export const MIN_PREFETCH = 3;
/** Most permits that one datagram requests. */
export const MAX_REQUESTED_PERMITS = 1_000;
/** Time constant of the estimated arrival rate of a customer at a host. */
export const ARRIVAL_RATE_TIME_CONSTANT_MS: Milliseconds = 1_000;
/** After permits have expired unused, a host requests this share of them in advance. */
export const PREFETCH_CUT = 0.25;

/** A grantor that doesn't answer within this time is passed over. */
export const ANSWER_TIMEOUT_MS: Milliseconds = 40;
/** The grantors together have this time; then the host's own share decides. */
export const DECISION_TIMEOUT_MS: Milliseconds = 70;
/** A grantor that didn't answer is not asked again for this time. */
export const SILENT_GRANTOR_PAUSE_MS: Milliseconds = 200;
/** Hosts that refer a request to another grantor; more would be a loop. */
export const MAX_REFERRALS = 3;
/**
 * Refused requests are counted against the last answer for this time at most, so
 * that a customer far above its quota causes 20 requests per host and second.
 */
export const REFUSAL_REUSE_MS: Milliseconds = 50;

/** Time for which a grantor may act on its last heartbeat. */
export const LEASE_MS: Milliseconds = 1_000;
/**
 * A grantor that was without a confirmed term for longer may have been replaced, and
 * starts anew. Others replace it no sooner than `REPLACEMENT_DELAY_MS`.
 */
export const MAX_TERM_GAP_MS: Milliseconds = 2_000;
/**
 * Time until a grantor replaces one that doesn't hand over, under the same root: the
 * other's lease, 0.7 s by which its last heartbeat may be late, and 0.8 s in which the
 * root learns that other hosts are gone too.
 */
export const REPLACEMENT_DELAY_MS: Milliseconds = 3_000;
/**
 * The same when the root has changed: the former root may still serve a part of the
 * fleet, and takes some 3 s to learn that the other part is gone.
 */
export const NEW_ROOT_DELAY_MS: Milliseconds = 4_500;
/**
 * The same in a fleet that has just started, where no host has been in charge for long:
 * two roots that start together hear of each other within a second.
 */
export const NEW_FLEET_DELAY_MS: Milliseconds = 1_200;
/**
 * The largest part of the fleet reached within this time counts: the tree of a new root
 * grows from nothing while hosts move to it. Replacements start later than that.
 */
export const SHARE_MEMORY_MS: Milliseconds = 1_000;
/**
 * The fleet counts as whole if this share of its hosts is missing: a host that moves in
 * the tree is counted twice for a moment, and the largest count holds for a minute.
 */
export const MISCOUNT = 0.02;
/**
 * A grantor that has lost its role hands over its bucket for this time after it was
 * last confirmed: its replacement starts `REPLACEMENT_DELAY_MS` after the change.
 */
export const HANDOVER_MS: Milliseconds = 1_500;
/** A grantor waits this long for its predecessor's bucket; some three round trips. */
export const CLAIM_TIMEOUT_MS: Milliseconds = 20;
/** Interval at which it claims the bucket again. */
export const CLAIM_INTERVAL_MS: Milliseconds = 200;
/** A grantor that is still in charge claims a bucket back after this time. */
export const RECLAIM_DELAY_MS: Milliseconds = 60;
/** Lists of grantors that a host remembers. */
export const MAX_TERMS = 16;

/**
 * A pause of the event loop that is longer may have let old heartbeats queue up, and
 * others may have replaced this host. Followers leave a silent parent after 0.7 s.
 */
export const MAX_PAUSE_MS: Milliseconds = 600;
/** After such a pause heartbeats are ignored for this time: they may be old. */
export const FOLLOWER_DISTRUST_MS: Milliseconds = 300;
/** A root needs longer to learn that its followers follow another one. */
export const ROOT_DISTRUST_MS: Milliseconds = 3_000;
/** The wall clock ran ahead of the monotonic clock by more: a suspension. */
export const MAX_CLOCK_DRIFT_MS: Milliseconds = 200;

/**
 * Hosts that may use a reserve for a customer in one window: the main and the backup
 * grantor, those that they replaced, and those of another part of the fleet. In a fleet
 * that is no larger every host may, so that one that is cut off can go on.
 */
export const RESERVE_PARTS = 6;
