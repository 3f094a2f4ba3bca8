/** One host of a simulated fleet. */

import type {
  FleetNode,
  FleetSize,
  Freshness,
  PropagationBudget,
  Peer,
  ReadPace,
} from '../../src/decisions/fleet/index.js';
import type {Milliseconds} from '../../src/time/index.js';

/** A connection over which a host hears of changes from another. */
export interface Stream {
  readonly follower: SimulatedHost;
  readonly parent: SimulatedHost;
  heardAt: Milliseconds;
  /** Whether the leader has told anything yet. */
  hasReceived: boolean;
  closed: boolean;
}

export class SimulatedHost {
  node!: FleetNode;
  freshness!: Freshness;
  size!: FleetSize;
  readPace!: ReadPace;
  /** Newest change that it knows of. */
  newestChange = 0;
  alive = false;
  /** Without power: it doesn't even refuse connections. */
  hasLostPower = false;
  frozenUntil = 0;
  /** Time that its own clock hasn't counted. */
  suspendedMs = 0;
  life = 0;
  parentStream: Stream | undefined;
  readonly followerStreams = new Set<Stream>();
  isRefusedByStore = false;
  /** Nothing that it sends to the store is answered. */
  isCutFromStore = false;
  calls = 0;
  datagramsSent = 0;

  constructor(readonly peer: Peer) {}

  get address(): string {
    return this.peer.address;
  }
}

export interface SimulationOptions {
  readonly hosts: number;
  readonly dataCentres: number;
  readonly introducers?: number;
  readonly seed?: number;
  /** Share of datagrams that are lost. */
  readonly loss?: number;
  readonly budget?: PropagationBudget;
}

export function sumOf(
  hosts: readonly SimulatedHost[],
  valueOf: (host: SimulatedHost) => number,
): number {
  return hosts.reduce((sum, host) => sum + valueOf(host), 0);
}
