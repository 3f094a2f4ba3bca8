/**
 * Decides from whom a host hears of changes: from a peer that reads the store
 * for its data centre, or from the store itself.
 *
 * Hosts of a data centre follow the one that registered first. No election is
 * held: a host that finds nobody before it reads the store itself, so that two
 * readers at a time cost calls and nothing else.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {Peer} from './types.js';

/** A peer that failed is left alone for this time, doubled each time. */
const FIRST_SUSPENSION_MS: Milliseconds = 1_000;
const LONGEST_SUSPENSION_MS: Milliseconds = 16_000;

export type Source =
  {readonly kind: 'peer'; readonly peer: Peer} | {readonly kind: 'store'};

interface Suspension {
  readonly until: Milliseconds;
  readonly lastedMs: Milliseconds;
}

const STORE: Source = {kind: 'store'};

export class SourceChoice {
  private peers: readonly Peer[] = [];
  private readonly suspensions = new Map<string, Suspension>();

  constructor(
    private readonly self: {
      readonly address: string;
      readonly dataCentre: string;
    },
    private readonly clock: Clock,
  ) {}

  /** Peers as registered; this host is among them once it is. */
  setPeers(peers: readonly Peer[]): void {
    this.peers = [...peers].sort((a, b) => a.rank - b.rank);
  }

  /** Whom to follow now. */
  preferred(): Source {
    const own = this.peers.find(({address}) => address === this.self.address);
    const peer = this.peers.find(
      one =>
        one.dataCentre === this.self.dataCentre &&
        (!own || one.rank < own.rank) &&
        this.isOpen(one),
    );
    return peer ? {kind: 'peer', peer} : STORE;
  }

  /**
   * Whom to ask when the store turns this host away: any other host may be
   * served by it, first those nearby.
   */
  substitute(): Peer | undefined {
    const open = this.peers.filter(
      one => one.address !== this.self.address && this.isOpen(one),
    );
    return (
      open.find(({dataCentre}) => dataCentre === this.self.dataCentre) ??
      open[0]
    );
  }

  /** A peer broke off, stayed silent, or told nothing fresh. */
  failed(peer: Peer): void {
    const before = this.suspensions.get(peer.address);
    const lastedMs = Math.min(
      LONGEST_SUSPENSION_MS,
      before ? before.lastedMs * 2 : FIRST_SUSPENSION_MS,
    );
    const until = this.clock.now() + lastedMs;
    this.suspensions.set(peer.address, {until, lastedMs});
  }

  /** A peer told something fresh. */
  proved(peer: Peer): void {
    this.suspensions.delete(peer.address);
  }

  private isOpen(peer: Peer): boolean {
    const suspension = this.suspensions.get(peer.address);
    return !suspension || this.clock.now() >= suspension.until;
  }
}
