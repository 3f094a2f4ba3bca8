/**
 * Position of a host in the distribution tree, between the store and its
 * followers.
 */

import type {Peer, Heartbeat} from './types.js';

/**
 * Sorts before all addresses: in the reader's data centre no head has priority.
 */
const NO_HEAD = '';

/** The host that is followed and sends updates. */
export interface Parent extends Peer {
  /** Whether it has sent fresh data on this connection. */
  readonly isConfirmed: boolean;
}

export class TreePosition {
  private source: Parent | undefined;
  private relayPath: readonly string[] = [];
  private successors: readonly string[] = [];
  private parentHead = NO_HEAD;
  private isStoreFailing = false;
  private hasBecomeRoot = false;

  constructor(private readonly self: Peer) {}

  get parent(): Parent | undefined {
    return this.source;
  }

  /**
   * Hosts that relay updates to this one, the reader first, the parent last.
   * Kept when the parent is lost: they are the first to be queried.
   */
  get path(): readonly string[] {
    return this.relayPath;
  }

  /** Hosts that relay updates to this one now, in any order. */
  get sources(): readonly string[] {
    return this.source ? [...this.relayPath, this.source.address] : [];
  }

  /** Hosts between the store and this one. */
  get depth(): number {
    return this.relayPath.length;
  }

  /**
   * Successors: followers of the reader, in the order in which they take over.
   */
  get heirs(): readonly string[] {
    return this.successors;
  }

  /**
   * This host's place among the successors; after all if it is none of them.
   */
  get successorRank(): number {
    const rank = this.heirs.indexOf(this.self.address);
    return rank < 0 ? this.heirs.length : rank;
  }

  /** Whether this host has read the store and follows no other since. */
  get isTreeRoot(): boolean {
    return this.hasBecomeRoot && this.source === undefined;
  }

  /** Whether the parent reports that the store fails. */
  get parentReportsStoreFailing(): boolean {
    return this.source !== undefined && this.isStoreFailing;
  }

  /** Whether the parent is in another data centre. */
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
    this.hasBecomeRoot = false;
  }

  unfollow(): void {
    this.source = undefined;
  }

  confirmParent(): void {
    this.source = this.source && {...this.source, isConfirmed: true};
  }

  /** Applies the position that the parent reports. */
  applyHeartbeat({path, heirs, head, isStoreFailing}: Heartbeat): void {
    this.relayPath = path;
    this.successors = heirs;
    this.parentHead = head;
    this.isStoreFailing = isStoreFailing;
  }

  /** This host reads the store itself. */
  becomeRoot(): void {
    this.hasBecomeRoot = true;
    this.relayPath = [];
    this.successors = [];
  }
}
