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
const FIRST_SUSPENSION_MS: Readonly<Record<PeerFault, Milliseconds>> = {
  unreachable: 1_000,
  stale: 400,
};
const LONGEST_SUSPENSION_MS: Milliseconds = 8_000;
/**
 * Hosts that lose their reader together begin to read one after the other:
 * the next finds the one before it reading. The longest delay and the time
 * after which a peer counts as silent stay within what a change may take.
 */
const DELAY_PER_PEER_MS: Milliseconds = 40;
const LONGEST_DELAY_MS: Milliseconds = 500;

/** Why a peer isn't followed. */
export type PeerFault =
  /** It broke off, or said nothing. */
  | 'unreachable'
  /** It has no fresh news itself. */
  | 'stale';

export type Source =
  | {readonly kind: 'peer'; readonly peer: Peer}
  | {
      readonly kind: 'store';
      /** How long to wait before reading, and then look for peers again. */
      readonly delayMs: Milliseconds;
    };

interface Suspension {
  readonly until: Milliseconds;
  readonly lastedMs: Milliseconds;
  readonly fault: PeerFault;
}

export class SourceChoice {
  private peers: readonly Peer[] = [];
  private address = '';
  private readonly suspensions = new Map<string, Suspension>();

  constructor(
    private readonly dataCentre: string,
    private readonly clock: Clock,
  ) {}

  /** @param address of this host */
  identify(address: string): void {
    this.address = address;
  }

  /** Peers as registered; this host is among them once it is. */
  setPeers(peers: readonly Peer[]): void {
    this.peers = [...peers].sort((a, b) => a.rank - b.rank);
  }

  /** Whom to follow now. */
  preferred(): Source {
    const before = this.peersBefore();
    const peer = before.find(one => this.isOpen(one));
    if (peer) {
      return {kind: 'peer', peer};
    }
    const alive = before.filter(
      ({address}) => this.suspensions.get(address)?.fault === 'stale',
    );
    const delayMs = Math.min(
      LONGEST_DELAY_MS,
      DELAY_PER_PEER_MS * alive.length,
    );
    return {kind: 'store', delayMs};
  }

  /**
   * Whom to ask when the store turns this host away: any other host may be
   * served by it, first those nearby.
   */
  substitute(): Peer | undefined {
    const open = this.peers.filter(
      one => one.address !== this.address && this.isOpen(one),
    );
    return (
      open.find(({dataCentre}) => dataCentre === this.dataCentre) ?? open[0]
    );
  }

  /** A peer can't be followed now. */
  failed(peer: Peer, fault: PeerFault): void {
    const before = this.suspensions.get(peer.address);
    const lastedMs = Math.min(
      LONGEST_SUSPENSION_MS,
      before?.fault === fault
        ? before.lastedMs * 2
        : FIRST_SUSPENSION_MS[fault],
    );
    const until = this.clock.now() + lastedMs;
    this.suspensions.set(peer.address, {until, lastedMs, fault});
  }

  /** A peer told something fresh. */
  proved(peer: Peer): void {
    this.suspensions.delete(peer.address);
  }

  /** Peers of the data centre that registered before this host. */
  private peersBefore(): readonly Peer[] {
    const {address, dataCentre} = this;
    const own = this.peers.find(one => one.address === address);
    return this.peers.filter(
      one => one.dataCentre === dataCentre && (!own || one.rank < own.rank),
    );
  }

  private isOpen(peer: Peer): boolean {
    const suspension = this.suspensions.get(peer.address);
    return !suspension || this.clock.now() >= suspension.until;
  }
}
