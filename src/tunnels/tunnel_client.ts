/** Opens connections to upstreams through other hosts. */

import type {Socket} from 'node:net';
import type {IncomingMessage} from 'node:http';
import {request} from 'node:http';
import type {TunnelPeers} from '../decisions/reachability/index.js';
import type {ErrorHandler} from '../lifecycle/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import {parseAddress} from '../platform/index.js';
import type {Clock, Milliseconds} from '../time/index.js';
import {
  CONNECT_TIMEOUT_MS,
  FAILURE_STATUSES,
  FRAMED_PROTOCOL,
  HOST_HEADER,
  PLAIN_PROTOCOL,
  TUNNEL_PATH,
} from './constants.js';
import {TunnelError} from './errors.js';
import {FrameDecoder, PlainDecoder} from './framing.js';
import {TunnelSocket} from './tunnel_socket.js';
import type {Tunnel, TunnelDecoder, TunnelFailure} from './types.js';

/** By the protocol that the other host has chosen. */
const DECODERS: Readonly<Record<string, () => TunnelDecoder>> = {
  [FRAMED_PROTOCOL]: () => new FrameDecoder(),
  [PLAIN_PROTOCOL]: () => new PlainDecoder(),
};

/** Hosts that are asked for one tunnel, one after the other. */
const MAX_PEERS_ASKED = 16;
/** For a request, no further host is asked after this time: its search goes on. */
const ASKING_TIMEOUT_MS: Milliseconds = 120;
/** A host answers within the time in which it connects, and a round trip. */
const PEER_TIMEOUT_MS: Milliseconds = 2 * CONNECT_TIMEOUT_MS;

export interface TunnelClientParts {
  readonly peers: TunnelPeers;
  /** Address of this host for peers. */
  readonly self: () => string;
  readonly clock: Clock;
  /** Called for an error of this program, after which the host counts as unavailable. */
  readonly onError: ErrorHandler;
}

export class TunnelClient {
  constructor(private readonly parts: TunnelClientParts) {}

  /** A host stops: others are asked first for a while. */
  avoid(peer: string): void {
    this.parts.peers.noteStopping(peer);
  }

  /**
   * @param isAnswered whether the upstream answered a probe through the host
   * @returns whether the host's tunnels count as broken
   */
  noteProbe(peer: string, upstream: string, isAnswered: boolean): boolean {
    const {peers} = this.parts;
    if (isAnswered) {
      peers.noteAnswer(peer);
      return false;
    }
    return peers.noteUnanswered(peer, upstream);
  }

  /**
   * Resolves with undefined if no host helps.
   *
   * @param upstream id of the upstream instance
   * @param timeoutMs no further host is asked after this time
   * @throws TunnelError if the upstream can't be reached from another host either
   */
  async open(
    upstream: string,
    timeoutMs: Milliseconds = Infinity,
  ): Promise<Tunnel | undefined> {
    const {peers, self, clock, onError} = this.parts;
    const startedAt = clock.now();
    for (const peer of peers.choose(MAX_PEERS_ASKED)) {
      if (clock.now() - startedAt >= timeoutMs) {
        break;
      }
      const result = await openThrough(peer, upstream, self(), onError);
      if (typeof result !== 'string') {
        return {socket: result, peer};
      }
      if (result !== 'unavailable') {
        throw new TunnelError(
          result,
          `${upstream} is ${result} through ${peer}`,
        );
      }
      peers.noteFailure(peer);
    }
    return undefined;
  }

  /**
   * Resolves with undefined if no host helps and the direct path may be tried.
   *
   * @throws TunnelError if it may not
   */
  async openOr(
    upstream: string,
    mayFallBack: () => boolean,
  ): Promise<Tunnel | undefined> {
    const tunnel = await this.open(upstream, ASKING_TIMEOUT_MS);
    if (!tunnel && !mayFallBack()) {
      throw new TunnelError(
        'unreachable',
        `no host helps to reach ${upstream}`,
      );
    }
    return tunnel;
  }
}

function openThrough(
  peer: string,
  upstream: string,
  self: string,
  onError: ErrorHandler,
): Promise<TunnelSocket | TunnelFailure> {
  const address = parseAddress(peer);
  return new Promise(resolve => {
    const outgoing = request({
      host: address?.ip,
      port: address?.port,
      path: `${TUNNEL_PATH}${encodeURIComponent(upstream)}`,
      headers: {
        connection: 'Upgrade',
        upgrade: `${FRAMED_PROTOCOL}, ${PLAIN_PROTOCOL}`,
        [HOST_HEADER]: self,
      },
      agent: false,
    });
    const boundary = new ErrorBoundary(error => {
      onError(error);
      outgoing.destroy();
      settle('unavailable');
    });
    const timer = setTimeout(
      boundary.wrap(() => outgoing.destroy()),
      PEER_TIMEOUT_MS,
    );
    const settle = (result: TunnelSocket | TunnelFailure): void => {
      clearTimeout(timer);
      resolve(result);
    };
    boundary.listen(outgoing, 'error', () => settle('unavailable'));
    boundary.listen(outgoing, 'close', () => settle('unavailable'));
    boundary.listen(outgoing, 'response', ({statusCode}: IncomingMessage) => {
      settle(failureOf(statusCode));
      outgoing.destroy();
    });
    boundary.listen(
      outgoing,
      'upgrade',
      ({headers}: IncomingMessage, socket: Socket) => {
        const createDecoder = DECODERS[headers.upgrade ?? ''];
        if (!createDecoder) {
          socket.destroy();
          settle('unavailable');
          return;
        }
        socket.setNoDelay(true);
        settle(new TunnelSocket(socket, createDecoder(), onError));
      },
    );
    outgoing.end();
  });
}

function failureOf(status: number | undefined): TunnelFailure {
  const failures = Object.keys(FAILURE_STATUSES) as TunnelFailure[];
  return (
    failures.find(one => FAILURE_STATUSES[one] === status) ?? 'unavailable'
  );
}
