import type {Socket} from 'node:net';

/** An open connection to an upstream through another host. */
export interface Tunnel {
  readonly socket: Socket;
  /** Address of the host that passes its bytes on. */
  readonly peer: string;
}

/** Opens a connection to an upstream. */
export type TunnelOpener = () => Promise<Tunnel>;

/** Why a host opens no tunnel. */
export type TunnelFailure =
  /** The upstream refuses connections: its process has ended. */
  | 'refused'
  /** The upstream doesn't answer that host either. */
  | 'unreachable'
  /** That host can't help: it is cut off itself, full, stopping or down. */
  | 'unavailable';
