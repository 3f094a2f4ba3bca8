/** Messages between entry hosts, and what they know of each other. */

import type {Milliseconds} from '../../time/index.js';
import type {Evacuations} from '../evacuation/index.js';
import type {AdmissionPlan} from '../overload/index.js';
import type {LogPosition, RegistryEntry} from '../registry/index.js';
import type {RouteTable} from '../routes/index.js';

/** Another entry host. */
export interface Peer {
  /** IP address and port for other hosts. */
  readonly address: string;
  readonly dataCentre: string;
}

/** A peer in a sample, as the sender knows it. */
export interface PeerDescriptor extends Peer {
  /** Time since it last sent a greeting, to any host. */
  readonly ageMs: Milliseconds;
}

/** What a host reports about itself. */
export interface PeerStatus extends Peer {
  /**
   * Address of the host that read its data from the store; undefined without
   * source.
   */
  readonly reader: string | undefined;
  /**
   * Age of its data: time since that host last had an answer from the store.
   */
  readonly newsAgeMs: Milliseconds;
  /** Hosts that relay updates to it, the reader first. */
  readonly path: readonly string[];
  /**
   * The host through which its data centre receives updates: one that follows a
   * host elsewhere; empty in the reader's own data centre.
   */
  readonly head: string;
  /** Hosts that receive updates through it, itself included. */
  readonly subtreeSize: number;
}

/** A datagram with the sender's status and a sample of its view. */
export interface Greeting {
  readonly from: PeerStatus;
  readonly wantsReply: boolean;
  readonly sample: readonly PeerDescriptor[];
  /** A peer whose reader or head has priority over the sender's. */
  readonly competingPeer?: PeerStatus;
}

/** Where the configuration in force was read. */
export interface ConfigurationOrigin {
  /** The host that read it from the store. */
  readonly reader: string | undefined;
  readonly position: LogPosition;
  /** Time since the store returned it. */
  readonly ageMs: Milliseconds;
}

/** The newest configuration that is known to be in the store. */
export interface ConfigurationHead {
  /** Position up to which the operator's records are known. */
  readonly end: LogPosition;
  /** Position of its record; undefined if there is none. */
  readonly position?: LogPosition;
  /** Undefined if the record can't be decoded. */
  readonly version?: number;
}

/**
 * Sent to followers at regular intervals, and when the sender's source changes.
 */
export interface Heartbeat {
  readonly kind: 'alive';
  /** Age of the data: time since the store was last read successfully. */
  readonly ageMs: Milliseconds;
  /** Address of the host that read it; undefined while there is none. */
  readonly reader: string | undefined;
  /** Hosts that relayed the updates, the reader first, the sender last. */
  readonly path: readonly string[];
  /** The sender's own `head`. */
  readonly head: string;
  /**
   * Whether reads of the store fail at the sender, or its parent reports so.
   */
  readonly isStoreFailing: boolean;
  /**
   * Successors: followers of the reader, in the order in which they take over.
   */
  readonly heirs: readonly string[];
  /** Hosts in the fleet, as the reader counts them. */
  readonly hosts: number;
  /** Hosts that the reader's distribution tree reaches now. */
  readonly reachable: number;
  /** Most hosts that it has lately reached for some seconds. */
  readonly lastingCount: number;
  /** Whether the fleet has run for long enough to be counted. */
  readonly isCounted: boolean;
  /** Log position up to which the sender has relayed changes of upstreams. */
  readonly end: LogPosition;
  /** The newest configuration that the sender knows of; often left out while it is the same. */
  readonly configuration?: ConfigurationHead;
}

/** The hosts that may grant permits for customers' quotas, as heartbeats name them. */
export interface GrantorTerm {
  /** The root of the distribution tree, then its followers. */
  readonly grantors: readonly string[];
  /** Hosts in that tree now. */
  readonly reachable: number;
  /** Most hosts that the tree has lately reached for some seconds; 0 at first. */
  readonly hosts: number;
  /** Whether the fleet has run for long enough to be counted. */
  readonly isCounted: boolean;
  /** When the term was last confirmed. */
  readonly heardAt: Milliseconds;
}

/** A message of a host to its followers, one line of JSON. */
export type Update =
  | {
      readonly kind: 'table';
      readonly table: RouteTable;
      readonly origin?: ConfigurationOrigin;
    }
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
  | {readonly kind: 'admission'; readonly plan: AdmissionPlan}
  | Heartbeat
  /** The sender takes no more followers, or stops: follow one of these. */
  | {readonly kind: 'elsewhere'; readonly peers: readonly Peer[]};

/** A host that asks to follow another. */
export interface FollowRequest extends Peer {
  /** Hosts that it recently failed to reach. */
  readonly avoid: readonly string[];
}

export type Admission =
  | {readonly kind: 'accept'}
  | {readonly kind: 'redirect'; readonly peers: readonly Peer[]}
  | {readonly kind: 'refuse'};

/** Why a peer isn't or is no longer followed. */
export type PeerFault =
  /** It closed the connection or is silent. */
  | 'unreachable'
  /** It has no fresh data itself. */
  | 'stale'
  /** Its data comes through this host: a loop. */
  | 'circle'
  /** It takes no more followers. */
  | 'full';

/** An action that a host is to perform. */
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
  /** Read the list of introducers from the store. */
  | {readonly kind: 'list'}
  /** Register this host as an introducer in the store. */
  | {readonly kind: 'register'}
  /** Send followers a heartbeat now. */
  | {readonly kind: 'tell'};
