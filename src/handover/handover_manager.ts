/** Hands requests to homes and takes them back in time. */

import type {HomeHost} from '../decisions/handover/index.js';
import {HomeHostSelector} from '../decisions/handover/index.js';
import type {
  HomeHostCandidate,
  PeerTable,
} from '../decisions/membership/index.js';
import type {Clock} from '../time/index.js';

export class HandoverManager {
  private readonly selector: HomeHostSelector;
  private readonly reclaimCallbacks = new Map<number, () => void>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    self: HomeHostCandidate,
    peers: PeerTable,
    private readonly clock: Clock,
  ) {
    this.selector = new HomeHostSelector(self, peers, clock);
  }

  selectHomeHost(
    service: string,
    count: number,
    requestId: number,
  ): HomeHost | undefined {
    return this.selector.select(service, count, requestId);
  }

  countHomeHosts(service: string, count: number): number {
    return this.selector.countHomeHosts(service, count);
  }

  /** @param takeBack called when the home is suspect: decide it here */
  handOver(home: HomeHost, requestId: number, takeBack: () => void): void {
    this.selector.handOver(home, requestId);
    this.reclaimCallbacks.set(requestId, takeBack);
    this.scheduleReclaim();
  }

  acknowledge(home: HomeHost, requestId: number): void {
    this.selector.acknowledge(home, requestId);
  }

  end(home: HomeHost, requestId: number): void {
    this.selector.end(home, requestId);
    this.reclaimCallbacks.delete(requestId);
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private scheduleReclaim(): void {
    const due = this.selector.wakeAt;
    if (due === undefined || this.timer) {
      return;
    }
    this.timer = setTimeout(
      () => {
        this.timer = undefined;
        this.reclaimOverdue();
        this.scheduleReclaim();
      },
      Math.max(1, due - this.clock.now()),
    );
  }

  private reclaimOverdue(): void {
    for (const id of this.selector.reclaimOverdue()) {
      const takeBack = this.reclaimCallbacks.get(id);
      this.reclaimCallbacks.delete(id);
      takeBack?.();
    }
  }
}
