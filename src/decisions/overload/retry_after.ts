/** Chooses the Retry-After of requests that are refused in an overload. */

import type {Milliseconds, Random} from '../../time/index.js';

/** Callers honour a Retry-After up to this share of their remaining time. */
const MAX_REMAINING_TIME_SHARE = 1 / 3;
/** Slots become free within this time at any load. */
const SHORTEST_MS: Milliseconds = 60;
/** An overload that has just begun is expected to last this long. */
const MIN_OVERLOAD_MS: Milliseconds = 800;
/** Part of the time over which requests that are refused together are spread. */
const SPREAD = 0.5;

/**
 * An overload is expected to last as long again as it has lasted. A request of which a
 * larger share is admitted returns sooner: its next attempt is likely to be admitted.
 *
 * @param share of such requests that is admitted
 * @param overloadMs time since the overload began
 * @param leftMs time until the caller gives up
 */
export function overloadRetryAfter(
  share: number,
  overloadMs: Milliseconds,
  leftMs: Milliseconds,
  random: Random,
): Milliseconds {
  const remainingMs = Math.max(MIN_OVERLOAD_MS, overloadMs);
  const wantedMs = SHORTEST_MS + (1 - share) * remainingMs;
  const longestMs = Math.max(0, leftMs) * MAX_REMAINING_TIME_SHARE;
  const cappedMs = Math.min(longestMs, wantedMs / (1 - SPREAD / 2));
  return cappedMs * (1 - SPREAD * random());
}
