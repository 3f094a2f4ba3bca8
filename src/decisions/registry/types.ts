/** Upstreams as they register themselves in the store. */

import type {Milliseconds} from '../../time/index.js';
import type {LogPosition} from './log_position.js';

/** Registration record that an upstream writes about itself. */
export interface UpstreamReport {
  /** Stays the same when the upstream restarts. */
  readonly name: string;
  /** Unix time of its start; undefined if not reported. */
  readonly bornAt: Milliseconds | undefined;
  /** Incremented with each report; reset by a restart. */
  readonly sequence: number;
  /** IP address and port; may later be reused by another upstream. */
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Accepts no new requests and will exit. */
  readonly leaving: boolean;
  /** How much longer it is slow after its start, as of its report. */
  readonly coldMs: Milliseconds;
}

/** One instance of an upstream, from the start of its process to its end. */
export interface RegisteredUpstream extends UpstreamReport {
  /**
   * Unique to this instance. State about upstreams is keyed by it, so that the state
   * of one instance is never attributed to another.
   */
  readonly id: string;
}

interface RecordHeader {
  /** Name of the upstream that the record is about. */
  readonly name: string;
  readonly position: LogPosition;
}

interface AbsentUpstream extends RecordHeader {
  /** Removed, or overwritten by a record that describes no usable upstream. */
  readonly kind: 'removed' | 'unusable';
  readonly upstream?: undefined;
}

/** One decoded record of the store. */
export type RegistryRecord =
  | (RecordHeader & {readonly kind: 'report'; readonly report: UpstreamReport})
  | AbsentUpstream;

/** State of one upstream as of one record. */
export type RegistryEntry =
  | (RecordHeader & {
      readonly kind: 'present';
      readonly upstream: RegisteredUpstream;
    })
  | AbsentUpstream;

/** All entries in the store before a position. */
export interface RegistrySnapshot {
  readonly entries: readonly RegistryEntry[];
  readonly end: LogPosition;
}
