/** Paces reads of a store that refuses or doesn't answer. */

import type {Milliseconds, Random} from '../../time/index.js';

const FIRST_PAUSE_MS: Milliseconds = 250;
/** Short enough to hear of a change within the time that it may take. */
const LONGEST_PAUSE_MS: Milliseconds = 1_200;
const GROWTH = 1.6;
/**
 * Pause of hosts that are behind others, which ask the store for them; each
 * call is paid for, also one that is refused.
 */
const PATIENT_PAUSE_MS: Milliseconds = 4_000;
/** Failures after which they are patient: by then nobody had news. */
const PATIENT_AFTER = 1;

/**
 * Pause after a number of failures in a row. It is spread by a half either
 * way, so that hosts that lost the store together don't return to it so.
 */
export function pauseAfter(
  failures: number,
  random: Random,
  isBehind = false,
): Milliseconds {
  const growing = FIRST_PAUSE_MS * GROWTH ** (failures - 1);
  const pause =
    isBehind && failures > PATIENT_AFTER
      ? PATIENT_PAUSE_MS
      : Math.min(LONGEST_PAUSE_MS, growing);
  return pause * (0.5 + random());
}
