import type {Milliseconds} from '../../time/index.js';

/** An attempt that has no response yet. */
export interface PendingAttempt {
  readonly service: string;
  readonly route: string;
  /** Run time that was expected when it was sent. */
  readonly expectedMs: Milliseconds;
}
