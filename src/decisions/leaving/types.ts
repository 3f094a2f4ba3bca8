import type {Milliseconds} from '../../time/index.js';

/** An upstream that announced in a response that it is leaving, as exchanged by hosts. */
export interface LeavingRecord {
  readonly upstream: string;
  /** Time since the announcement was received. */
  readonly ageMs: Milliseconds;
}
