/**
 * Thresholds and limits of the quarantine; docs/design/quarantine.md has the
 * measurements.
 */

import type {Milliseconds} from '../../time/index.js';

/**
 * Number of upstreams that must crash while running a request before it is quarantined.
 * Two may crash for unrelated reasons under a harmless request that was retried; three
 * in a row without a response in between hardly ever do.
 */
export const CRASHES_TO_QUARANTINE = 3;
/**
 * Duration of a quarantine after the last crash; each crash beyond the threshold adds
 * the same time again. Long enough to fix a program or contact the sender, short enough
 * that a fixed request is served the same day.
 */
export const QUARANTINE_MS: Milliseconds = 600_000;
/**
 * Crashes expire after this time; until then, one more crash quarantines a request
 * again.
 */
export const CRASH_TTL_MS: Milliseconds = 3_600_000;
/** Maximum number of crashes kept per request, the latest ones. */
export const MAX_CRASHES_PER_REQUEST = 8;
/**
 * Maximum number of suspects, which bounds the memory of a host. Where upstreams crash
 * under thousands of different requests, one of them says little about the next.
 */
export const MAX_SUSPECTS = 1_024;
/**
 * Minimum restart time of a crashed process: an instance that responds within this time
 * of its reported crash has not crashed.
 */
export const MIN_RESTART_MS: Milliseconds = 1_000;
/**
 * A restarted upstream has registered anew within this time. An instance that is still
 * registered afterwards has not crashed.
 */
export const MAX_REGISTRATION_DELAY_MS: Milliseconds = 10_000;
/** Maximum number of instances remembered whose reported crash was refuted. */
export const MAX_REFUTED_INSTANCES = 256;
