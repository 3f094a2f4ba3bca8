/** Interface of the store, a log of keyed records by topic. */

import type {Result} from 'neverthrow';
import type {LogPosition} from '../decisions/registry/index.js';
import type {Milliseconds} from '../time/index.js';

/** A record of a topic that retains at least the newest record of each key. */
export interface KeyedRecord {
  readonly key: string;
  readonly position: LogPosition;
  /** Undefined when the key was deleted; empty when it is not valid UTF-8. */
  readonly value: string | undefined;
}

export interface RecordPage {
  readonly records: readonly KeyedRecord[];
  /** Position of the next read. */
  readonly next: LogPosition;
  /** Where the log ended when the store answered; undefined if the page lacks it. */
  readonly end: LogPosition | undefined;
}

/** The newest record of each key. */
export interface TopicSnapshot {
  readonly records: readonly KeyedRecord[];
  /** The snapshot includes all records before this position. */
  readonly end: LogPosition;
}

export type StoreFailure =
  /** The store reports that nothing was done: it is down or its rate limit is exceeded. */
  | {readonly kind: 'refused'; readonly message: string}
  /**
   * The requested records were deleted, or the store was restored from an older
   * copy: read a snapshot instead.
   */
  | {readonly kind: 'trimmed'; readonly message: string}
  /** No response: a write may have been applied, or may still be. */
  | {readonly kind: 'unknown'; readonly message: string};

export interface Store {
  /** Appends a record; resolves with its position. */
  put(
    topic: string,
    key: string,
    value: string,
  ): Promise<Result<LogPosition, StoreFailure>>;
  /**
   * @param waitMs how long the store may wait for a record
   * @param signal aborts the call, which then fails as unknown
   */
  read(
    topic: string,
    from: LogPosition,
    waitMs: Milliseconds,
    signal?: AbortSignal,
  ): Promise<Result<RecordPage, StoreFailure>>;
  /** Reads the newest record of each key. */
  newest(topic: string): Promise<Result<TopicSnapshot, StoreFailure>>;
}
