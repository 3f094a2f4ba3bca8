import type {Offset} from '../configuration/index.js';
import type {Milliseconds} from '../../time/index.js';

/** What an entry host states about itself. */
export interface HostStatement {
  readonly host: string;
  /** Larger after every restart, to distinguish statements from before it. */
  readonly incarnation: number;
  /** Larger with every statement of one incarnation. */
  readonly sequence: number;
  readonly dataCentre: string;
  /** IP address and port for callers. */
  readonly callerAddress: string;
  /** IP address and port for peers. */
  readonly controlAddress: string;
  readonly ready: boolean;
  /** Shutting down: nothing new should be sent to it. */
  readonly leaving: boolean;
  /** Offset of the next record it will put in force. */
  readonly next: Offset;
}

/** A statement with the age of its host's log, as hosts exchange it. */
export interface AgedStatement {
  readonly statement: HostStatement;
  /** Time since its host had last read to the end of the log; null if never. */
  readonly logAgeMs: Milliseconds | null;
}

/** A peer as this host knows it; times are on this host's clock. */
export interface KnownPeer {
  readonly statement: HostStatement;
  /** When its latest statement became known here. */
  readonly lastHeardAt: Milliseconds;
  /** Latest time at which it had certainly read to the end of the log. */
  readonly logCaughtUpAt: Milliseconds;
}
