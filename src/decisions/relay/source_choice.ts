/**
 * Decides from whom a host hears of changes: from a peer, or from the store.
 *
 * Hosts of a data centre follow the one that registered first; that one
 * follows the first of the fleet, which reads the store for all. So calls grow
 * with changes, and one stream crosses to each other data centre. Everybody
 * follows only hosts that registered earlier, so that no two can follow each
 * other in a circle in which nobody reads.
 *
 * No election is held: a host that finds nobody before it reads the store
 * itself, so that two readers at a time cost calls and nothing else. The first
 * of a data centre also reads until a host elsewhere has proved fresh, so that
 * a data centre that is cut off from the others waits for nobody.
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
/**
 * Time for a host of another data centre to prove fresh before this one reads
 * the store: some three round trips of 2 ms, and the peer's own turn.
 */
const FAR_HEAD_START_MS: Milliseconds = 80;
/**
 * The same for peers of the data centre. Dead hosts stay registered: one that
 * asked them all in turn, 0.7 s each, would hear of nothing meanwhile.
 */
const NEAR_HEAD_START_MS: Milliseconds = 800;

/** Why a peer isn't followed. */
export type PeerFault =
  /** It broke off, or said nothing. */
  | 'unreachable'
  /** It has no fresh news itself. */
  | 'stale';

export type Source =
  | {
      readonly kind: 'peer';
      readonly peer: Peer;
      /** This host reads the store too unless the peer proves fresh by then. */
      readonly headStartMs: Milliseconds;
    }
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

  /** Takes in a host that registered after this one had listed the others. */
  addPeer(peer: Peer): void {
    const others = this.peers.filter(({address}) => address !== peer.address);
    this.setPeers([...others, peer]);
  }

  /** Hosts known to have registered. */
  get peerCount(): number {
    return this.peers.length;
  }

  /** This host as it registered; undefined while it isn't listed. */
  get self(): Peer | undefined {
    return this.peers.find(({address}) => address === this.address);
  }

  /** Whom to follow now. */
  preferred(): Source {
    const before = this.peersBefore();
    const near = before.filter(one => this.isNear(one));
    const peer = near.find(one => this.isOpen(one));
    if (peer) {
      return {kind: 'peer', peer, headStartMs: NEAR_HEAD_START_MS};
    }
    const far = before.find(one => !this.isNear(one) && this.isOpen(one));
    if (far) {
      return {kind: 'peer', peer: far, headStartMs: FAR_HEAD_START_MS};
    }
    const alive = near.filter(
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
    return open.find(one => this.isNear(one)) ?? open[0];
  }

  isNear({dataCentre}: Peer): boolean {
    return dataCentre === this.dataCentre;
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

  /** Peers that registered before this host. */
  private peersBefore(): readonly Peer[] {
    const own = this.self;
    return own ? this.peers.filter(({rank}) => rank < own.rank) : this.peers;
  }

  private isOpen(peer: Peer): boolean {
    const suspension = this.suspensions.get(peer.address);
    return !suspension || this.clock.now() >= suspension.until;
  }
}
