/**
 * Decides from whom a host hears of changes: from a peer, or from the store.
 *
 * Hosts of a data centre follow the one that registered first; that one
 * follows the first of the fleet, which reads the store for all. So calls grow
 * with changes, and one stream crosses to each other data centre. Everybody
 * follows only hosts that registered earlier, so that no two can follow each
 * other in a circle in which nobody reads. Only a host that the store turns away
 * asks any other; a circle of those ends as soon as their news are stale.
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
/**
 * A dead host is seldom asked again. One that is merely without news is: when
 * the store returns, the hosts that follow must hear of it within seconds.
 */
const LONGEST_SUSPENSION_MS: Readonly<Record<PeerFault, Milliseconds>> = {
  unreachable: 8_000,
  stale: 1_000,
};
/**
 * Peers that are asked, the earliest of those that can be reached. If none of
 * them has news, the later ones have none either: in an outage of the store,
 * thirty hosts that ask each other each second are 900 connections.
 */
const ASKED_PEERS = 3;
/**
 * Hosts that lose their reader together begin to read one after the other:
 * the next finds the one before it reading.
 */
const DELAY_PER_PEER_MS: Milliseconds = 40;
/**
 * That many hosts of a data centre read at once. If the store answered none of
 * them it is down for all, and each further call is paid for in vain.
 */
const MOST_READERS = 10;
/** Later hosts read after this time, in case the store meets only some. */
const LATE_READ_MS: Milliseconds = 3_000;
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

/** Each so many substitutes, one of another data centre is asked first. */
const FAR_SUBSTITUTE_EACH = 3;

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
      /** This host reads the store too unless a peer has answered by then. */
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
  private substitutes = 0;
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

  /** Addresses of the hosts of the data centre, this one among them. */
  get nearAddresses(): readonly string[] {
    return this.peers
      .filter(one => this.isNear(one))
      .map(({address}) => address);
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
    const before = this.reachableBefore();
    const near = before.filter(one => this.isNear(one));
    const delayMs = readDelay(near.length);
    const peer = this.firstOpen(near);
    if (peer) {
      return {kind: 'peer', peer, headStartMs: NEAR_HEAD_START_MS};
    }
    // Only the first of a data centre asks elsewhere: bytes between data
    // centres are paid for.
    const far = near.length === 0 ? this.firstOpen(before) : undefined;
    return far
      ? {kind: 'peer', peer: far, headStartMs: FAR_HEAD_START_MS}
      : {kind: 'store', delayMs};
  }

  /**
   * Whom to ask when the store turns this host away: any other host may be
   * served by it. Those nearby go first, but now and then one elsewhere is
   * asked: the store may be away for a whole data centre.
   */
  substitute(): Peer | undefined {
    this.substitutes += 1;
    const farFirst = this.substitutes % FAR_SUBSTITUTE_EACH === 0;
    const open = this.peers.filter(
      one => one.address !== this.address && this.isOpen(one),
    );
    return open.find(one => this.isNear(one) !== farFirst) ?? open[0];
  }

  /**
   * Whether as many hosts come before this one as others ask: those find out
   * when the store is back, and this one hears of it from them.
   */
  get isBehind(): boolean {
    const near = this.reachableBefore().filter(one => this.isNear(one));
    return near.length >= ASKED_PEERS;
  }

  isNear({dataCentre}: Peer): boolean {
    return dataCentre === this.dataCentre;
  }

  /** A peer can't be followed now. */
  failed(peer: Peer, fault: PeerFault): void {
    const before = this.suspensions.get(peer.address);
    const lastedMs = Math.min(
      LONGEST_SUSPENSION_MS[fault],
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

  /** Peers before this host that aren't known to be dead. */
  private reachableBefore(): readonly Peer[] {
    return this.peersBefore().filter(
      one => this.isOpen(one) || this.faultOf(one) !== 'unreachable',
    );
  }

  private firstOpen(peers: readonly Peer[]): Peer | undefined {
    return peers.slice(0, ASKED_PEERS).find(one => this.isOpen(one));
  }

  /** What was last found wrong with a peer, if it hasn't proved since. */
  private faultOf({address}: Peer): PeerFault | undefined {
    return this.suspensions.get(address)?.fault;
  }

  private isOpen(peer: Peer): boolean {
    const suspension = this.suspensions.get(peer.address);
    return !suspension || this.clock.now() >= suspension.until;
  }
}

/** @param before hosts of the data centre that read before this one */
function readDelay(before: number): Milliseconds {
  return before > MOST_READERS ? LATE_READ_MS : DELAY_PER_PEER_MS * before;
}
