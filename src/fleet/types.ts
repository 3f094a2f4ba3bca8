import type {LogPosition} from '../decisions/registry/index.js';
import type {KeyedRecord} from '../platform/index.js';

/** How far a host's state has come, as texts of a query. */
export interface StateVersions extends Record<string, string> {
  /** Version of the configuration, or empty. */
  readonly version: string;
  /** Up to where evacuations are known, or empty. */
  readonly evacuations: string;
  /** Up to where upstreams are known, or empty. */
  readonly position: string;
}

/** What one read of a topic brought. */
export interface TopicBatch {
  readonly records: readonly KeyedRecord[];
  /** Up to where the topic is known with them. */
  readonly end: LogPosition;
  /** Whether these are the newest records of all keys. */
  readonly isSnapshot: boolean;
}
