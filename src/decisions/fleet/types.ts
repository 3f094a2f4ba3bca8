/** What entry hosts know and tell of each other. */

import type {Milliseconds} from '../../time/index.js';
import type {Evacuations} from '../evacuation/index.js';
import type {LogPosition, RegistryEntry} from '../registry/index.js';
import type {RouteTable} from '../routes/index.js';

/** Another entry host. */
export interface Peer {
  /** IP number and port for other hosts. */
  readonly address: string;
  readonly dataCentre: string;
}

/** A peer as somebody knows it. */
export interface PeerDescriptor extends Peer {
  /** Since it last told of itself, to whomever. */
  readonly ageMs: Milliseconds;
}

/** What a host tells of itself. */
export interface PeerStatus extends Peer {
  /** Address of the host that read what it knows; undefined without source. */
  readonly reader: string | undefined;
  /** Time since that host last had an answer from the store. */
  readonly newsAgeMs: Milliseconds;
  /** Hosts that its news come by, the reader first. */
  readonly path: readonly string[];
  /**
   * The host by which its data centre hears of changes: one that follows a host
   * elsewhere, or none where the reader is nearby.
   */
  readonly head: string;
  /** Hosts that hear of changes by it, and itself. */
  readonly subtreeSize: number;
}

/** A datagram between hosts. */
export interface Greeting {
  readonly from: PeerStatus;
  readonly wantsReply: boolean;
  readonly sample: readonly PeerDescriptor[];
  /** A host that hears of changes by another reader than the sender. */
  readonly competingPeer?: PeerStatus;
}

/** Told to followers, and again each so often as a sign of life. */
export interface Heartbeat {
  readonly kind: 'alive';
  /** Time since the store was last read with success. */
  readonly ageMs: Milliseconds;
  /** Address of the host that read it; undefined when there is none now. */
  readonly reader: string | undefined;
  /** Hosts that the sender's news came by, the reader first, and the sender. */
  readonly path: readonly string[];
  /** The sender's own `head`. */
  readonly head: string;
  /** Whether the store fails the sender, or the one that it hears from. */
  readonly isStoreFailing: boolean;
  /** Followers of the reader, in the order in which they take its place. */
  readonly heirs: readonly string[];
  /** Hosts in the fleet, as the reader counts them. */
  readonly hosts: number;
  /** Whether the fleet has been there for long enough to be counted. */
  readonly isCounted: boolean;
  /** Up to where the sender has told of upstreams. */
  readonly end: LogPosition;
}

/** What one host tells those that follow it, a line of JSON each. */
export type Update =
  | {readonly kind: 'table'; readonly table: RouteTable}
  | {readonly kind: 'evacuations'; readonly evacuations: Evacuations}
  | {
      readonly kind: 'entries';
      readonly entries: readonly RegistryEntry[];
      readonly end: LogPosition;
    }
  | {
      readonly kind: 'snapshot';
      readonly entries: readonly RegistryEntry[];
      readonly end: LogPosition;
    }
  | Heartbeat
  /** The sender takes no more followers, or ends: ask these. */
  | {readonly kind: 'elsewhere'; readonly peers: readonly Peer[]};

/** A host that wants to follow. */
export interface FollowRequest extends Peer {
  /** Hosts that it could not reach of late. */
  readonly avoid: readonly string[];
}

export type Admission =
  | {readonly kind: 'accept'}
  | {readonly kind: 'redirect'; readonly peers: readonly Peer[]}
  | {readonly kind: 'refuse'};

/** Why a peer isn't followed. */
export type PeerFault =
  /** It broke off, or said nothing. */
  | 'unreachable'
  /** It has no fresh news itself. */
  | 'stale'
  /** Its news come by this host. */
  | 'circle'
  /** It has as many followers as it takes. */
  | 'full';

/** What a host is to do. */
export type NodeAction =
  | {
      readonly kind: 'greet';
      readonly to: readonly string[];
      readonly wantsReply: boolean;
      readonly competingPeer?: PeerStatus;
    }
  | {readonly kind: 'follow'; readonly peer: Peer}
  | {readonly kind: 'unfollow'}
  | {readonly kind: 'read'}
  | {readonly kind: 'stop-reading'}
  /** Ask the store who can introduce this host. */
  | {readonly kind: 'list'}
  /** Write this host to the store as one that introduces others. */
  | {readonly kind: 'register'}
  /** Tell followers a sign of life now. */
  | {readonly kind: 'tell'};
