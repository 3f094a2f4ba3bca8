import type {Milliseconds} from '../../time/index.js';

/** Digest of what a request asks: equal for its retries and at all hosts. */
export type Fingerprint = string;

/** Each request has two fingerprints, one of which ignores its query. */
export interface Fingerprints {
  readonly exact: Fingerprint;
  /** Starts with `PATH_FINGERPRINT_PREFIX`. */
  readonly path: Fingerprint;
}

/** Prefix of fingerprints that ignore the query. */
export const PATH_FINGERPRINT_PREFIX = 'path:';

/** The crash of an upstream instance while it ran a request. */
export interface Crash {
  /** Id of the instance, which crashes only once. */
  readonly life: string;
  /** Time since the crash. */
  readonly ageMs: Milliseconds;
}

/** What hosts exchange about a request. */
export interface CrashRecord {
  readonly fingerprint: Fingerprint;
  readonly crashes: readonly Crash[];
  /** Time since an upstream last responded to the request; undefined if none has. */
  readonly survivedAgeMs: Milliseconds | undefined;
}

export type Verdict =
  /** It may be sent. */
  | {readonly kind: 'free'}
  /** Quarantined for `leftMs`, as upstreams crash under it. */
  | {readonly kind: 'held'; readonly leftMs: Milliseconds}
  /** Quarantined only if reports of other hosts are true: first check these crashes. */
  | {readonly kind: 'doubtful'; readonly crashes: readonly Crash[]};
