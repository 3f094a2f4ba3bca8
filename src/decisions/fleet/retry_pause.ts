/** Paces reads of a store that refuses or doesn't answer. */

import type {Milliseconds, Random} from '../../time/index.js';

const INITIAL_DELAY_MS: Milliseconds = 250;
/** Short enough to hear of a change within the time that it may take. */
const MAX_DELAY_MS: Milliseconds = 1_200;
const BACKOFF_FACTOR = 1.6;
/**
 * Pause of hosts that are behind others, which ask the store for them; each
 * call is paid for, also one that is refused.
 */
const LOW_PRIORITY_DELAY_MS: Milliseconds = 4_000;
/** Failures after which they are patient: by then nobody had news. */
const LOW_PRIORITY_AFTER_FAILURES = 1;

/**
 * Pause after a number of failures in a row. It is spread by a half either
 * way, so that hosts that lost the store together don't return to it so.
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
