/**
 * The idempotent requests that this host has handed over to one home host.
 *
 * Detects a paused or failed home host, on which the requests of a whole data
 * centre would hang until their deadlines. A home host acknowledges a request
 * on receipt. If an acknowledgement takes longer than a garbage collection
 * pause, the home host is suspect, and this host reclaims and serves all
 * requests that it handed over. Orders are never handed over: an extra hop
 * could leave their outcome unknown, and a reclaimed order could run twice.
 */

import type {Milliseconds} from '../../time/index.js';

/** Longest wait for an acknowledgement. */
export const ACKNOWLEDGE_TIMEOUT_MS: Milliseconds = 50;
/** Delay before one request is handed over to a suspect home host again. */
export const TRIAL_DELAY_MS: Milliseconds = 500;

interface Handover {
  readonly sentAt: Milliseconds;
  acknowledged: boolean;
}

export class HandoverTracker {
  private readonly handovers = new Map<number, Handover>();
  private suspectSince: Milliseconds | undefined;

  /** When the next `reclaimIfOverdue` is due, if any. */
  get wakeAt(): Milliseconds | undefined {
    for (const {acknowledged, sentAt} of this.handovers.values()) {
      if (!acknowledged) {
        return sentAt + ACKNOWLEDGE_TIMEOUT_MS;
      }
    }
    return undefined;
  }

  /** Whether another request may be handed over. */
  mayHandOver(now: Milliseconds): boolean {
    if (this.suspectSince === undefined) {
      return true;
    }
    const trial = now - this.suspectSince >= TRIAL_DELAY_MS;
    return trial && this.handovers.size === 0;
  }

  handOver(requestId: number, now: Milliseconds): void {
    this.handovers.set(requestId, {sentAt: now, acknowledged: false});
  }

  acknowledge(requestId: number): void {
    const handover = this.handovers.get(requestId);
    if (handover) {
      handover.acknowledged = true;
      this.suspectSince = undefined;
    }
  }

  /** Stops tracking a request that ended there or lost its connection. */
  end(requestId: number): void {
    this.handovers.delete(requestId);
  }

  /** Reclaims all requests if one is overdue; the home host is then suspect. */
  reclaimIfOverdue(now: Milliseconds): readonly number[] {
    const due = this.wakeAt;
    if (due === undefined || due > now) {
      return [];
    }
    this.suspectSince = now;
    const ids = [...this.handovers.keys()];
    this.handovers.clear();
    return ids;
  }
}
