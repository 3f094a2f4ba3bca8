import type {Offset} from '../configuration/index.js';
import type {Milliseconds} from '../../time/index.js';

/** What an entry host says of itself. */
export interface HostStatement {
  readonly host: string;
  /** Larger after every restart, so that an earlier life is told apart. */
  readonly incarnation: number;
  /** Larger with every statement of one incarnation. */
  readonly sequence: number;
  readonly dataCentre: string;
  /** IP number and port for callers. */
  readonly callerAddress: string;
  /** IP number and port for peers. */
  readonly controlAddress: string;
  readonly ready: boolean;
  /** Going away: it should get nothing new. */
  readonly leaving: boolean;
  /** Offset of the next record it will put in force. */
  readonly next: Offset;
}

/** A statement with its ages, as hosts exchange it. */
export interface AgedStatement {
  readonly statement: HostStatement;
  /** Time since its host last knew the end of the log; null: never. */
  readonly logAgeMs: Milliseconds | null;
}

/** A peer as this host knows it; times are on this host's clock. */
export interface KnownPeer {
  readonly statement: HostStatement;
  /** When its latest statement became known here. */
  readonly lastHeardAt: Milliseconds;
  /** When at the latest it certainly knew the end of the log. */
  readonly logCaughtUpAt: Milliseconds;
}
