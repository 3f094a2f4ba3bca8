/** Upstreams as they register themselves. */

import type {Milliseconds} from '../../time/index.js';

export interface RegisteredUpstream {
  /** Names one start of one upstream; never used again. */
  readonly id: string;
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

/** What the store says of one upstream, at one offset. */
export interface RegistryEntry {
  readonly id: string;
  readonly offset: number;
  /** Undefined when the entry was removed. */
  readonly upstream: RegisteredUpstream | undefined;
}

/** All entries that stood in the store before an offset. */
export interface RegistrySnapshot {
  readonly entries: readonly RegistryEntry[];
  readonly end: number;
}
