/** The store as this system uses it. */

import type {Result} from 'neverthrow';
import type {Milliseconds} from '../time/index.js';

/** Position of a record in its topic; grows by one a record. */
export type Offset = number;

/** A record of a topic that keeps the newest record of each key. */
export interface KeyedRecord {
  readonly key: string;
  readonly offset: Offset;
  /** Undefined when the key was dropped; empty when it is no text. */
  readonly value: string | undefined;
}

/** What a read from an offset found. */
export interface RecordPage {
  readonly records: readonly KeyedRecord[];
  /** Where to read on. */
  readonly next: Offset;
}

/** The newest record of each key. */
export interface TopicSnapshot {
  readonly records: readonly KeyedRecord[];
  /** Everything before this offset is in the snapshot. */
  readonly end: Offset;
}

export type StoreFailure =
  /** The store says that nothing was done: it is down or over its rate. */
  | {readonly kind: 'refused'; readonly message: string}
  /** The records asked for were deleted; take a snapshot. */
  | {readonly kind: 'trimmed'; readonly message: string}
  /** No answer: a write may have been done, or may be done later. */
  | {readonly kind: 'unknown'; readonly message: string};

/** The platform's store. */
export interface Store {
  /** Appends one record under a key; resolves with its offset. */
  put(
    topic: string,
    key: string,
    value: string,
  ): Promise<Result<Offset, StoreFailure>>;
  /**
   * @param waitMs how long the store may wait for a record
   * @param signal ends the call early; it then fails as unknown
   */
  read(
    topic: string,
    from: Offset,
    waitMs: Milliseconds,
    signal?: AbortSignal,
  ): Promise<Result<RecordPage, StoreFailure>>;
  newest(topic: string): Promise<Result<TopicSnapshot, StoreFailure>>;
}
