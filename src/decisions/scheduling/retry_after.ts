/** Tells a refused caller when to come back. */

import type {Milliseconds, Random} from '../../time/index.js';

/** Callers wait for up to this share of the time that they have left. */
const HONOURED_SHARE = 1 / 3;
/** Callers who are refused together must not return together. */
const SPREAD = 0.5;

/**
 * @param leftMs how long the caller would still wait
 * @param soonestMs when a slot may be free
 */
export function chooseRetryAfter(
  leftMs: Milliseconds,
  soonestMs: Milliseconds,
  random: Random,
): Milliseconds {
  const wantedMs = soonestMs * (1 + SPREAD * random());
  return Math.min(Math.max(0, leftMs) * HONOURED_SHARE, wantedMs);
}
