/**
 * Decides when the root of the distribution tree reads the size of the fleet from the
 * store, and when it writes it there.
 *
 * Hosts keep nothing. Without the record, each part of a split fleet that restarts as a
 * whole would take itself for the whole fleet, grant whole quotas, and spend the whole of
 * the budgets that hosts share.
 */

import type {Clock, Milliseconds} from '../../time/index.js';

export type StoredSizeCall = 'read' | 'write';

/** Shortest time from one call to the next. A starting fleet is counted meanwhile. */
const CALL_INTERVALS: Readonly<Record<StoredSizeCall, Milliseconds>> = {
  read: 2_000,
  write: 4_000,
};

export class StoredSize {
  private stored: number | undefined;
  private calledAt: Milliseconds = -Infinity;

  constructor(private readonly clock: Clock) {}

  /**
   * The call to make now, if any.
   *
   * @param isRoot whether this host is the root, with access to the store
   * @param hosts size of the fleet, as counted or read lately
   */
  nextCall(isRoot: boolean, hosts: number): StoredSizeCall | undefined {
    if (!isRoot) {
      this.stored = undefined;
      return undefined;
    }
    const now = this.clock.now();
    const call = this.stored === undefined ? 'read' : 'write';
    const isDue = now - this.calledAt >= CALL_INTERVALS[call];
    if (hosts === this.stored || !isDue) {
      return undefined;
    }
    this.calledAt = now;
    return call;
  }

  /** The record may be lost: it is read again. */
  forget(): void {
    this.stored = undefined;
  }

  /** The record has been read or written; 0 if there is none. */
  note(hosts: number): void {
    this.stored = hosts;
  }
}
