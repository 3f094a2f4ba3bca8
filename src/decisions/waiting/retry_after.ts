/** Tells a refused caller when to come back. */

import type {Milliseconds, Random} from '../../time/index.js';

const SHORTEST_MS: Milliseconds = 60;
/** Callers wait for up to this share of the time that they have left. */
const HONOURED_SHARE = 1 / 3;
/** Callers who are refused together must not return together. */
const SPREAD = 0.5;

/**
 * @param leftMs how long the caller would still wait
 * @param drainMs when those who wait now will have started
 */
export function chooseRetryAfter(
  leftMs: Milliseconds,
  drainMs: Milliseconds,
  random: Random,
  shortestMs = SHORTEST_MS,
  spread = SPREAD,
): Milliseconds {
  const wantedMs = Math.max(shortestMs, drainMs) * (1 + spread * random());
  return Math.min(Math.max(0, leftMs) * HONOURED_SHARE, wantedMs);
}
