/** Opens connections to upstreams through other hosts. */

import type {Socket} from 'node:net';
import type {IncomingMessage} from 'node:http';
import {request} from 'node:http';
import type {TunnelPeers} from '../decisions/reachability/index.js';
import {parseAddress} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import {
  CONNECT_TIMEOUT_MS,
  FAILURE_STATUSES,
  HOST_HEADER,
  OPENED_STATUS,
} from './constants.js';
import {TunnelError} from './errors.js';
import type {Tunnel, TunnelFailure} from './types.js';

/** Hosts that are asked for one tunnel, one after the other. */
const MAX_PEERS_ASKED = 4;
/** A host answers within the time in which it connects, and a round trip. */
const PEER_TIMEOUT_MS: Milliseconds = 2 * CONNECT_TIMEOUT_MS;

export interface TunnelClientParts {
  readonly peers: TunnelPeers;
  /** Address of this host for peers. */
  readonly self: () => string;
}

export class TunnelClient {
  constructor(private readonly parts: TunnelClientParts) {}

  /** Whether there is any host to ask. */
  get hasPeers(): boolean {
    return this.parts.peers.choose(1).length > 0;
  }

  /** A host's tunnels fail or end: others are asked for a while. */
  avoid(peer: string): void {
    this.parts.peers.noteFailure(peer);
  }

  /**
   * @param target address of the upstream
   * @throws TunnelError if no host opens a tunnel
   */
  async open(target: string): Promise<Tunnel> {
    const {peers, self} = this.parts;
    for (const peer of peers.choose(MAX_PEERS_ASKED)) {
      const result = await openThrough(peer, target, self());
      if (typeof result !== 'string') {
        return {socket: result, peer};
      }
      if (result !== 'unavailable') {
        throw new TunnelError(result, `${target} is ${result} through ${peer}`);
      }
      peers.noteFailure(peer);
    }
    throw new TunnelError('unavailable', `no host opens a tunnel to ${target}`);
  }
}

function openThrough(
  peer: string,
  target: string,
  self: string,
): Promise<Socket | TunnelFailure> {
  const address = parseAddress(peer);
  return new Promise(resolve => {
    const outgoing = request({
      host: address?.ip,
      port: address?.port,
      method: 'CONNECT',
      path: target,
      headers: {[HOST_HEADER]: self},
      agent: false,
      timeout: PEER_TIMEOUT_MS,
    });
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => resolve('unavailable'));
    outgoing.on('close', () => resolve('unavailable'));
    outgoing.on('connect', ({statusCode}: IncomingMessage, socket: Socket) => {
      socket.setTimeout(0);
      if (statusCode === OPENED_STATUS) {
        socket.setNoDelay(true);
        resolve(socket);
      } else {
        socket.destroy();
        resolve(failureOf(statusCode));
      }
    });
    outgoing.end();
  });
}

function failureOf(status: number | undefined): TunnelFailure {
  const failures = Object.keys(FAILURE_STATUSES) as TunnelFailure[];
  return (
    failures.find(one => FAILURE_STATUSES[one] === status) ?? 'unavailable'
  );
}
