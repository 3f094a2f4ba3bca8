/** Tells a refused caller when to come back. */

import type {Milliseconds, Random} from '../../time/index.js';

/** Callers wait for up to this share of the time that they have left. */
const MAX_REMAINING_TIME_SHARE = 1 / 3;
/** Callers who are refused together must not return together. */
const JITTER = 0.5;

/**
 * @param leftMs how long the caller would still wait
 * @param earliestMs when a slot may be free
 */
export function chooseRetryAfter(
  leftMs: Milliseconds,
  earliestMs: Milliseconds,
  random: Random,
): Milliseconds {
  const wantedMs = earliestMs * (1 + JITTER * random());
  return Math.min(Math.max(0, leftMs) * MAX_REMAINING_TIME_SHARE, wantedMs);
}
