/** Where a host stands between the store and those that hear by it. */

import type {Peer, SignOfLife} from './types.js';

/** Before all addresses: where the reader is nearby, nobody is better. */
const NO_HEAD = '';

/** The host that is followed. */
export interface Followed extends Peer {
  /** Whether it has told fresh news on this connection. */
  readonly proved: boolean;
}

export class Position {
  private source: Followed | undefined;
  private way: readonly string[] = [];
  private readerFollowers: readonly string[] = [];
  private sourceHead = NO_HEAD;
  private isStoreFailing = false;

  constructor(private readonly self: Peer) {}

  get followed(): Followed | undefined {
    return this.source;
  }

  /**
   * Hosts that the news come by, the reader first, the followed last. Kept when
   * that one is lost: they are the first to be asked.
   */
  get path(): readonly string[] {
    return this.way;
  }

  /** Hosts between the store and this one. */
  get depth(): number {
    return this.way.length;
  }

  /** Followers of the reader, in the order in which they take its place. */
  get heirs(): readonly string[] {
    return this.readerFollowers;
  }

  /** This host's place among them; behind all if it is none of them. */
  get heirRank(): number {
    const rank = this.heirs.indexOf(this.self.address);
    return rank < 0 ? this.heirs.length : rank;
  }

  /** Whether the host that is followed says that the store fails. */
  get hearsStoreFails(): boolean {
    return this.source !== undefined && this.isStoreFailing;
  }

  /** Whether the host that is followed is in another data centre. */
  get followsFar(): boolean {
    const {source, self} = this;
    return source !== undefined && source.dataCentre !== self.dataCentre;
  }

  /** @see PeerStatus */
  get head(): string {
    if (!this.source) {
      return NO_HEAD;
    }
    return this.followsFar ? this.self.address : this.sourceHead;
  }

  follow({address, dataCentre}: Peer): void {
    this.source = {address, dataCentre, proved: false};
    this.isStoreFailing = false;
  }

  unfollow(): void {
    this.source = undefined;
  }

  prove(): void {
    this.source = this.source && {...this.source, proved: true};
  }

  /** The host that is followed has told where it stands itself. */
  learn({path, heirs, head, isStoreFailing}: SignOfLife): void {
    this.way = path;
    this.readerFollowers = heirs;
    this.sourceHead = head;
    this.isStoreFailing = isStoreFailing;
  }

  /** This host reads the store itself. */
  becomeRoot(): void {
    this.way = [];
    this.readerFollowers = [];
  }
}
