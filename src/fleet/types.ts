import type {LogPosition} from '../decisions/registry/index.js';
import type {KeyedRecord} from '../platform/index.js';

/** Up to where a host has data, as parameters of a query. */
export interface StateVersions extends Record<string, string> {
  /** Version of the configuration, or empty. */
  readonly version: string;
  /** Log position up to which evacuations are known, or empty. */
  readonly evacuations: string;
  /** Log position up to which upstreams are known, or empty. */
  readonly position: string;
}

/** Result of one read of a topic. */
export interface TopicBatch {
  readonly records: readonly KeyedRecord[];
  /** Position up to which the topic is known with them. */
  readonly end: LogPosition;
  /** Whether these are the newest records of all keys rather than changes. */
  readonly isSnapshot: boolean;
}
