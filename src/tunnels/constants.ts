import type {TunnelFailure} from './types.js';
import type {Milliseconds} from '../time/index.js';

/** Header in which a host names its address for peers. */
export const HOST_HEADER = 'x-cyclamenlever-host';

export const OPENED_STATUS = 200;

/** Statuses by which a host says why it opens no tunnel. */
export const FAILURE_STATUSES: Readonly<Record<TunnelFailure, number>> = {
  refused: 502,
  unreachable: 504,
  unavailable: 503,
};

/** Connecting to an upstream takes a round trip: 24 ms between regions. */
export const CONNECT_TIMEOUT_MS: Milliseconds = 60;
