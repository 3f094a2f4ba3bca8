/** Where a host stands between the store and those that hear by it. */

import type {Peer, Heartbeat} from './types.js';

/** Before all addresses: where the reader is nearby, nobody is better. */
const NO_HEAD = '';

/** The host that is followed. */
export interface Parent extends Peer {
  /** Whether it has told fresh news on this connection. */
  readonly isConfirmed: boolean;
}

export class TreePosition {
  private source: Parent | undefined;
  private relayPath: readonly string[] = [];
  private successors: readonly string[] = [];
  private parentHead = NO_HEAD;
  private isStoreFailing = false;

  constructor(private readonly self: Peer) {}

  get parent(): Parent | undefined {
    return this.source;
  }

  /**
   * Hosts that the news come by, the reader first, the followed last. Kept when
   * that one is lost: they are the first to be asked.
   */
  get path(): readonly string[] {
    return this.relayPath;
  }

  /** Hosts between the store and this one. */
  get depth(): number {
    return this.relayPath.length;
  }

  /** Followers of the reader, in the order in which they take its place. */
  get heirs(): readonly string[] {
    return this.successors;
  }

  /** This host's place among them; behind all if it is none of them. */
  get successorRank(): number {
    const rank = this.heirs.indexOf(this.self.address);
    return rank < 0 ? this.heirs.length : rank;
  }

  /** Whether the host that is followed says that the store fails. */
  get parentReportsStoreFailing(): boolean {
    return this.source !== undefined && this.isStoreFailing;
  }

  /** Whether the host that is followed is in another data centre. */
  get hasFarParent(): boolean {
    const {source, self} = this;
    return source !== undefined && source.dataCentre !== self.dataCentre;
  }

  /** @see PeerStatus */
  get head(): string {
    if (!this.source) {
      return NO_HEAD;
    }
    return this.hasFarParent ? this.self.address : this.parentHead;
  }

  follow({address, dataCentre}: Peer): void {
    this.source = {address, dataCentre, isConfirmed: false};
    this.isStoreFailing = false;
  }

  unfollow(): void {
    this.source = undefined;
  }

  confirmParent(): void {
    this.source = this.source && {...this.source, isConfirmed: true};
  }

  /** The host that is followed has told where it stands itself. */
  applyHeartbeat({path, heirs, head, isStoreFailing}: Heartbeat): void {
    this.relayPath = path;
    this.successors = heirs;
    this.parentHead = head;
    this.isStoreFailing = isStoreFailing;
  }

  /** This host reads the store itself. */
  becomeRoot(): void {
    this.relayPath = [];
    this.successors = [];
  }
}
