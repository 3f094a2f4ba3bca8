/** Upstreams as they register themselves. */

import type {Milliseconds} from '../../time/index.js';
import type {LogPosition} from './log_position.js';

/** What an upstream reports of itself. */
export interface UpstreamReport {
  /** Its own name, under which it may start again. */
  readonly name: string;
  /** Unix time of its start; undefined where it doesn't tell. */
  readonly bornAt: Milliseconds | undefined;
  /** Counts its reports; starts anew with each start. */
  readonly sequence: number;
  /** IP number and port; may later belong to another upstream. */
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Takes nothing new and will exit. */
  readonly leaving: boolean;
  /** How much longer it stays slow after its start, as of its report. */
  readonly coldMs: Milliseconds;
}

/** One life of an upstream, from a start of its process to its end. */
export interface RegisteredUpstream extends UpstreamReport {
  /**
   * Names this life; never used again. What is kept of an upstream is kept
   * under it, so that nothing known of one life is taken for another's.
   */
  readonly id: string;
}

interface RecordHeader {
  /** Name of the upstream that the record is about. */
  readonly name: string;
  readonly position: LogPosition;
}

interface AbsentUpstream extends RecordHeader {
  /** Removed, or replaced by a record that names no upstream to use. */
  readonly kind: 'removed' | 'unusable';
  readonly upstream?: undefined;
}

/** What one record of the store says. */
export type RegistryRecord =
  | (RecordHeader & {readonly kind: 'report'; readonly report: UpstreamReport})
  | AbsentUpstream;

/** What is known of one upstream as of one record. */
export type RegistryEntry =
  | (RecordHeader & {
      readonly kind: 'present';
      readonly upstream: RegisteredUpstream;
    })
  | AbsentUpstream;

/** All entries that stood in the store before a position. */
export interface RegistrySnapshot {
  readonly entries: readonly RegistryEntry[];
  readonly end: LogPosition;
}
