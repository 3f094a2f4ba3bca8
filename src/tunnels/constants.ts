import type {TunnelFailure} from './types.js';
import type {Milliseconds} from '../time/index.js';

/** Header in which a host names its address for peers. */
export const HOST_HEADER = 'x-cyclamenlever-host';

/** Path of tunnels; the upstream's id follows. */
export const TUNNEL_PATH = '/tunnels/';
/** Protocols of the upgrade, by how they pass on what an upstream sends. */
export const FRAMED_PROTOCOL = 'cyclamenlever-framed-tunnel';
/** Of hosts of earlier versions. */
export const PLAIN_PROTOCOL = 'cyclamenlever-tunnel';
export const OPENED_STATUS = 101;

/** Statuses by which a host says why it opens no tunnel. */
export const FAILURE_STATUSES: Readonly<Record<TunnelFailure, number>> = {
  refused: 502,
  unreachable: 504,
  unavailable: 503,
};

/** After this time what was sent to an upstream has arrived, and been answered if it is closed. */
export const ROUND_TRIP_MS: Milliseconds = 60;

/** Connecting to an upstream takes a round trip: 24 ms between regions. */
export const CONNECT_TIMEOUT_MS: Milliseconds = 60;
