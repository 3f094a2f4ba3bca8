/** Interfaces of the log service and host list that stand-alone hosts use. */

import type {Result} from 'neverthrow';
import type {Offset} from '../decisions/configuration/index.js';
import type {Milliseconds} from '../time/index.js';

export interface LogRecord {
  readonly offset: Offset;
  /** Time of the append by the log service's clock, in ms. */
  readonly appendedAt: Milliseconds;
  readonly body: string;
}

export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Lowest offset still retained. */
  readonly first: Offset;
  /** Offset of the next append. */
  readonly end: Offset;
}

export type LogFailure =
  /** Definitely not appended. */
  | {readonly kind: 'refused'; readonly message: string}
  /** May have been appended: read the log to find out. */
  | {readonly kind: 'unknown'; readonly message: string};

/** The append-only log service. */
export interface LogService {
  append(body: string): Promise<Result<Offset, LogFailure>>;
  /**
   * @param waitMs maximum time to wait for a record when there is none
   * @param signal ends the wait early
   */
  read(
    from: Offset,
    limit: number,
    waitMs: Milliseconds,
    signal?: AbortSignal,
  ): Promise<Result<LogPage, LogFailure>>;
}

/** A host's state as listed by the platform, possibly out of date. */
export interface ListedHost {
  /** IP address and port. */
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of hosts. */
export interface HostList {
  list(): Promise<Result<readonly ListedHost[], LogFailure>>;
}
