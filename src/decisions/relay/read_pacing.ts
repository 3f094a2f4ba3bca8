/** Paces reads of a store that refuses or doesn't answer. */

import type {Milliseconds, Random} from '../../time/index.js';

const FIRST_PAUSE_MS: Milliseconds = 250;
/** Short enough to hear of a change within the time that it may take. */
const LONGEST_PAUSE_MS: Milliseconds = 1_200;
const GROWTH = 1.6;

/**
 * Pause after a number of failures in a row. It is spread by a half either
 * way, so that hosts that lost the store together don't return to it so.
 */
export function pauseAfter(failures: number, random: Random): Milliseconds {
  const pause = FIRST_PAUSE_MS * GROWTH ** (failures - 1);
  return Math.min(LONGEST_PAUSE_MS, pause) * (0.5 + random());
}
