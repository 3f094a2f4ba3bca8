/** Thresholds and bounds of the quarantine; docs/design/quarantine.md has their figures. */

import type {Milliseconds} from '../../time/index.js';

/**
 * Upstreams that must have crashed under a request before it is held back. Two may
 * crash for reasons of their own under an innocent one that was sent again; three
 * in a row without an answer in between hardly ever do.
 */
export const CRASHES_TO_QUARANTINE = 3;
/**
 * A request is held back for this time after its last crash, and as long again for
 * each crash beyond those that it took: long enough to mend a program or call its
 * sender, short enough that one that was mended is served the same day.
 */
export const QUARANTINE_MS: Milliseconds = 600_000;
/** Crashes are remembered for this time: one more then holds a request again. */
export const CRASH_TTL_MS: Milliseconds = 3_600_000;
/** Crashes kept of one request; the latest count. */
export const MAX_CRASHES_PER_REQUEST = 8;
/**
 * Requests remembered at once, so that nobody fills a host's memory. Where upstreams
 * crash under thousands of different requests, one says little about the next.
 */
export const MAX_SUSPECTS = 1_024;
/**
 * A process that has crashed takes longer to be back: one that answers within this
 * time of the crash that is told of it has not crashed.
 */
export const MIN_RESTART_MS: Milliseconds = 1_000;
/**
 * After this time a life that is still registered has not ended: one that starts
 * again under its name has told so.
 */
export const MAX_REGISTRATION_DELAY_MS: Milliseconds = 10_000;
/** Upstreams found alive, of which reports are disbelieved. */
export const MAX_REFUTED_INSTANCES = 256;
