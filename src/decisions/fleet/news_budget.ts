/**
 * Shares out the time within which every host must know of a change.
 *
 * Waiting for the store, noticing that no news come, asking others and reading in
 * their place happen one after the other, so that their times add up. Each is a share
 * of the one bound, told from the age of the news: the age counts what earlier steps
 * have used up, wherever in the fleet that was.
 */

import type {Milliseconds} from '../../time/index.js';

export interface NewsBudget {
  /** Time from the store's acknowledgement of a change until every host knows it. */
  readonly boundMs: Milliseconds;
  /** Pause between reads, so that changes in quick succession are read together. */
  readonly gatherMs: Milliseconds;
  /** Longest wait of a read for a change. */
  readonly readWaitMs: Milliseconds;
  /** Time in which news reach the hosts furthest from the reader. */
  readonly spreadMs: Milliseconds;
  /** Time for the first news of a host that is followed. */
  readonly firstNewsMs: Milliseconds;
  /** Age from which news are missing, whatever the source says of itself. */
  readonly overdueMs: Milliseconds;
  /** Age from which a host asks others than the one that it follows. */
  readonly askOthersMs: Milliseconds;
  /** Age from which a host reads the store itself. */
  readonly readItselfMs: Milliseconds;
}

/**
 * A read that waits in vain and the pause before the next take less than until news are
 * overdue, by what a slow answer takes. What is left after the last step is for the
 * answer to a host's own read.
 */
const SHARES = {
  gatherMs: 0.125,
  readWaitMs: 0.25,
  spreadMs: 0.1,
  firstNewsMs: 0.15,
  overdueMs: 0.55,
  askOthersMs: 0.65,
  readItselfMs: 0.8,
};

export function newsBudget(boundMs: Milliseconds): NewsBudget {
  return {
    boundMs,
    gatherMs: SHARES.gatherMs * boundMs,
    readWaitMs: SHARES.readWaitMs * boundMs,
    spreadMs: SHARES.spreadMs * boundMs,
    firstNewsMs: SHARES.firstNewsMs * boundMs,
    overdueMs: SHARES.overdueMs * boundMs,
    askOthersMs: SHARES.askOthersMs * boundMs,
    readItselfMs: SHARES.readItselfMs * boundMs,
  };
}
