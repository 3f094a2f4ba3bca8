import type {ResettableStream} from '../lifecycle/index.js';

/** An open connection to an upstream through another host. */
export interface Tunnel {
  readonly socket: ResettableStream;
  /** Address of the host that passes its bytes on. */
  readonly peer: string;
}

/** Extracts what the upstream has sent from what a tunnel carries. */
export interface TunnelDecoder {
  /** Whether the upstream is known to have ended its connection in order. */
  readonly hasEnded: boolean;
  readonly decode: (received: Buffer) => readonly Buffer[];
}

/** Opens a connection to an upstream; resolves with undefined if no host helps. */
export type TunnelOpener = () => Promise<Tunnel | undefined>;

/** What keeps another host from connecting to an upstream. */
export type UpstreamFault =
  /** The upstream refuses connections: its process has ended. */
  | 'refused'
  /** The upstream doesn't answer that host either. */
  | 'unreachable';

/** Why a host opens no tunnel. */
export type TunnelFailure =
  | UpstreamFault
  /** That host can't help: it is cut off itself, full, stopping or down. */
  | 'unavailable';
