/** Delays between reads of a store that refuses or doesn't answer. */

import type {Milliseconds, Random} from '../../time/index.js';

const INITIAL_DELAY_MS: Milliseconds = 250;
/** Short enough to learn of a change within the bound for its propagation. */
const MAX_DELAY_MS: Milliseconds = 1_200;
const BACKOFF_FACTOR = 1.6;
/**
 * Delay of hosts on whose behalf others read the store; each call is paid for,
 * even one that is refused.
 */
const LOW_PRIORITY_DELAY_MS: Milliseconds = 4_000;
/** Failures after which that delay applies: by then no host had fresh data. */
const LOW_PRIORITY_AFTER_FAILURES = 1;

/**
 * Delay after a number of consecutive failures. Jitter of half of it either way
 * keeps hosts that lost the store together from retrying together.
 */
export function storeRetryDelay(
  failures: number,
  random: Random,
  isLowPriority = false,
): Milliseconds {
  const exponentialMs = INITIAL_DELAY_MS * BACKOFF_FACTOR ** (failures - 1);
  const delayMs =
    isLowPriority && failures > LOW_PRIORITY_AFTER_FAILURES
      ? LOW_PRIORITY_DELAY_MS
      : Math.min(MAX_DELAY_MS, exponentialMs);
  return delayMs * (0.5 + random());
}
