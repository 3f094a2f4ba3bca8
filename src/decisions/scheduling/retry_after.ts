/** Chooses the Retry-After of a refused request. */

import type {Milliseconds, Random} from '../../time/index.js';

/** Callers honour a Retry-After up to this share of their remaining time. */
const MAX_REMAINING_TIME_SHARE = 1 / 3;
/** Keeps callers that are refused together from retrying together. */
const JITTER = 0.5;

/**
 * @param leftMs time until the caller gives up
 * @param earliestMs time until a slot may be free
 */
export function chooseRetryAfter(
  leftMs: Milliseconds,
  earliestMs: Milliseconds,
  random: Random,
): Milliseconds {
  const wantedMs = earliestMs * (1 + JITTER * random());
  return Math.min(Math.max(0, leftMs) * MAX_REMAINING_TIME_SHARE, wantedMs);
}
