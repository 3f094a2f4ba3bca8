import type {Milliseconds} from '../../time/index.js';

/** What a request asks: the same for each of its sends, arrivals and hosts. */
export type Fingerprint = string;

/** A request is known by both: what it asks, and the same whatever its query is. */
export interface Fingerprints {
  readonly exact: Fingerprint;
  /** Marked by `PATH_MARK`. */
  readonly path: Fingerprint;
}

/** How fingerprints begin that leave out the query. */
export const PATH_PREFIX = 'path:';

/** A life of an upstream that ended while it ran a request. */
export interface Crash {
  /** Id of the life; a life ends once. */
  readonly life: string;
  /** Time since it ended. */
  readonly ageMs: Milliseconds;
}

/** What hosts tell each other of one request. */
export interface CrashRecord {
  readonly fingerprint: Fingerprint;
  readonly crashes: readonly Crash[];
  /** Time since an upstream last answered the request; undefined if none did. */
  readonly survivedAgeMs: Milliseconds | undefined;
}

export type Verdict =
  /** It may be sent. */
  | {readonly kind: 'free'}
  /** Upstreams crash under it: refuse it, for so long. */
  | {readonly kind: 'held'; readonly leftMs: Milliseconds}
  /** Others say so: see first whether these lives have really ended. */
  | {readonly kind: 'doubtful'; readonly crashes: readonly Crash[]};
