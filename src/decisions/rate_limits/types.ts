import type {Milliseconds} from '../../time/index.js';

/** The rate limit of an upstream, as hosts exchange it. */
export interface LimitRecord {
  /** Id of the upstream instance. */
  readonly upstream: string;
  /** Requests per second from all hosts together; undefined once it has ended. */
  readonly perSecond: number | undefined;
  /** Time since the response that this record is based on. */
  readonly ageMs: Milliseconds;
}

/** Hosts of this host's data centre, which may send to its upstreams. */
export interface NearHosts {
  /** Address of this host. */
  readonly self: string;
  /** Addresses of the other known hosts. */
  readonly others: readonly string[];
  /** Whether `self` and `others` are all hosts of the data centre. */
  readonly areAllKnown: boolean;
  /** Estimated number of hosts; 0 until the fleet has been counted. */
  readonly count: number;
  /** Number of hosts in all data centres; 0 until the fleet has been counted. */
  readonly fleetSize: number;
}
