import type {Milliseconds} from '../../time/index.js';

/** An upstream that this host can't send requests to yet. */
export interface Backoff {
  readonly upstream: string;
  readonly leftMs: Milliseconds;
}
