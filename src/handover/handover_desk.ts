/** Hands requests to homes and takes them back in time. */

import type {Home} from '../decisions/handover/index.js';
import {HomeDirectory} from '../decisions/handover/index.js';
import type {
  HomeHostCandidate,
  PeerTable,
} from '../decisions/membership/index.js';
import type {Clock} from '../time/index.js';

export class HandoverDesk {
  private readonly directory: HomeDirectory;
  private readonly takers = new Map<number, () => void>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    self: HomeHostCandidate,
    peers: PeerTable,
    private readonly clock: Clock,
  ) {
    this.directory = new HomeDirectory(self, peers, clock);
  }

  findHome(
    service: string,
    count: number,
    requestId: number,
  ): Home | undefined {
    return this.directory.find(service, count, requestId);
  }

  homesSharing(service: string, count: number): number {
    return this.directory.homesSharing(service, count);
  }

  /** @param takeBack called when the home is suspect: decide it here */
  handOver(home: Home, requestId: number, takeBack: () => void): void {
    this.directory.handOver(home, requestId);
    this.takers.set(requestId, takeBack);
    this.schedule();
  }

  acknowledge(home: Home, requestId: number): void {
    this.directory.acknowledge(home, requestId);
  }

  end(home: Home, requestId: number): void {
    this.directory.end(home, requestId);
    this.takers.delete(requestId);
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private schedule(): void {
    const due = this.directory.wakeAt;
    if (due === undefined || this.timer) {
      return;
    }
    this.timer = setTimeout(
      () => {
        this.timer = undefined;
        this.takeBackDue();
        this.schedule();
      },
      Math.max(1, due - this.clock.now()),
    );
  }

  private takeBackDue(): void {
    for (const id of this.directory.takeBack()) {
      const takeBack = this.takers.get(id);
      this.takers.delete(id);
      takeBack?.();
    }
  }
}
