/** Messages between the benchmark's main thread and its workers. */

/** Role of a worker thread, passed as its worker data. */
export type Role =
  | {readonly role: 'upstream'}
  | {readonly role: 'forwarder'; readonly upstreams: readonly number[]}
  | {readonly role: 'daemon'; readonly upstreams: readonly number[]}
  | {readonly role: 'load'};

/** Parameters of one measurement by a load thread. */
export interface LoadSpec {
  readonly port: number;
  readonly seconds: number;
  readonly connections: number;
  /** Requests per second at fixed times; 0 sends as many as possible. */
  readonly rate: number;
}

export interface LoadReport {
  readonly answered: number;
  readonly failed: number;
  /** Microseconds at p50, p99 and p99.9, from the time a request is due. */
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
}

/** Sent by a server thread once it listens. */
export interface ListeningMessage {
  readonly port: number;
}
