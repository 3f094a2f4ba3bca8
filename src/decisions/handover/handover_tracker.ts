/**
 * The repeatable requests that this host has handed to one home host.
 *
 * Answers the paused or failed home: requests handed to it would hang until
 * their deadlines, for all of a data centre. A home acknowledges a request as
 * it takes it in; when one goes unacknowledged for longer than a pause of the
 * garbage collector, the home is suspect, everything it has is taken back and
 * decided here. Orders are never handed over: one hop less that could leave
 * their outcome unknown, and nothing that could run them twice.
 */

import type {Milliseconds} from '../../time/index.js';

/** Longest wait for an acknowledgement. */
export const ACKNOWLEDGE_TIMEOUT_MS: Milliseconds = 50;
/** A suspect home gets one request again after this time. */
export const TRIAL_DELAY_MS: Milliseconds = 500;

interface Handover {
  readonly sentAt: Milliseconds;
  acknowledged: boolean;
}

export class HandoverTracker {
  private readonly handovers = new Map<number, Handover>();
  private suspectSince: Milliseconds | undefined;

  /** Time of the next `takeBack` it wants, if any. */
  get wakeAt(): Milliseconds | undefined {
    for (const {acknowledged, sentAt} of this.handovers.values()) {
      if (!acknowledged) {
        return sentAt + ACKNOWLEDGE_TIMEOUT_MS;
      }
    }
    return undefined;
  }

  /** Whether to hand a further request over. */
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

  /** The request ended there, or was lost with the connection. */
  end(requestId: number): void {
    this.handovers.delete(requestId);
  }

  /** Requests to decide here after all: none while the home acknowledges. */
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
