/** What the bench's threads are told and what they answer. */

/** Role of a thread, given as its worker data. */
export type Role =
  | {readonly role: 'upstream'}
  | {readonly role: 'forwarder'; readonly upstreams: readonly number[]}
  | {readonly role: 'daemon'; readonly upstreams: readonly number[]}
  | {readonly role: 'load'};

/** One measurement asked of a load thread. */
export interface LoadSpec {
  readonly port: number;
  readonly seconds: number;
  readonly connections: number;
  /** Requests a second at fixed times; 0: as many as can be. */
  readonly rate: number;
}

export interface LoadReport {
  readonly answered: number;
  readonly failed: number;
  /** Microseconds at p50, p99 and p99.9, from when a request was due. */
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
}

/** Answer of a serving thread once it listens. */
export interface ListeningMessage {
  readonly port: number;
}
