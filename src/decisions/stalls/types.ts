import type {Milliseconds} from '../../time/index.js';

/** A send whose answer is awaited. */
export interface PendingAttempt {
  readonly service: string;
  readonly route: string;
  /** Run time that was expected of it when it was sent. */
  readonly expectedMs: Milliseconds;
}
