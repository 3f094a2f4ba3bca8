/**
 * Divides the time within which every host must know of a change.
 *
 * Waiting for the store, detecting missing updates, querying peers and reading in
 * their place happen one after the other, so that their times add up. Each is a share
 * of the one bound, measured by the age of the data: that age counts what earlier steps
 * have used up, wherever in the fleet that was.
 */

import type {Milliseconds} from '../../time/index.js';

export interface PropagationBudget {
  /** Time from the store's acknowledgement of a change until every host knows it. */
  readonly boundMs: Milliseconds;
  /** Pause between reads, so that changes in quick succession are read together. */
  readonly batchPauseMs: Milliseconds;
  /** Longest wait of a read for a change. */
  readonly readWaitMs: Milliseconds;
  /** Time in which updates reach the hosts furthest from the reader. */
  readonly relayMs: Milliseconds;
  /** Time for the first update of a new parent. */
  readonly firstUpdateMs: Milliseconds;
  /** Age from which data is stale, whatever the parent reports. */
  readonly staleAfterMs: Milliseconds;
  /** Age from which a host queries peers other than its parent. */
  readonly searchAfterMs: Milliseconds;
  /** Age from which a host reads the store itself. */
  readonly readStoreAfterMs: Milliseconds;
  /** Age from which further hosts read a store that is said to fail. */
  readonly readAgainAfterMs: Milliseconds;
}

/**
 * A read that waits in vain and the pause before the next take less than until data is
 * stale, by what a slow answer takes. What is left after the last step is for the
 * answer to a host's own read.
 */
const SHARES = {
  batchPauseMs: 0.125,
  readWaitMs: 0.25,
  relayMs: 0.1,
  firstUpdateMs: 0.15,
  staleAfterMs: 0.55,
  searchAfterMs: 0.65,
  readStoreAfterMs: 0.8,
  readAgainAfterMs: 0.9,
};

export function propagationBudget(boundMs: Milliseconds): PropagationBudget {
  return {
    boundMs,
    batchPauseMs: SHARES.batchPauseMs * boundMs,
    readWaitMs: SHARES.readWaitMs * boundMs,
    relayMs: SHARES.relayMs * boundMs,
    firstUpdateMs: SHARES.firstUpdateMs * boundMs,
    staleAfterMs: SHARES.staleAfterMs * boundMs,
    searchAfterMs: SHARES.searchAfterMs * boundMs,
    readStoreAfterMs: SHARES.readStoreAfterMs * boundMs,
    readAgainAfterMs: SHARES.readAgainAfterMs * boundMs,
  };
}
