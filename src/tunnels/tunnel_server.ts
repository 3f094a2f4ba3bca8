/**
 * Passes bytes of other hosts on to upstreams that those hosts can't reach.
 *
 * A host asks by HTTP for an upgrade and names the upstream by its id. It must be one that
 * this host knows: tunnels lead nowhere else, and never on to another host.
 */

import type {IncomingMessage} from 'node:http';
import {STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import type {Logger} from 'pino';
import type {DatagramPort} from '../datagrams/index.js';
import {LogRateLimiter} from '../decisions/limits/index.js';
import type {Reachability} from '../decisions/reachability/index.js';
import type {RegisteredUpstream} from '../decisions/registry/index.js';
import type {ErrorReporter} from '../lifecycle/index.js';
import {ErrorBoundary, resetSocket} from '../lifecycle/index.js';
import {parseAddress} from '../platform/index.js';
import {closeWhenIdle} from '../servers/index.js';
import type {Clock, Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import {
  CONNECT_TIMEOUT_MS,
  FAILURE_STATUSES,
  FRAMED_PROTOCOL,
  HOST_HEADER,
  OPENED_STATUS,
  PLAIN_PROTOCOL,
  TUNNEL_PATH,
} from './constants.js';
import {splice} from './splice.js';
import type {TunnelFailure} from './types.js';

/** Kind of the datagrams that announce the end of a host's tunnels. */
export const TUNNELS_ENDING = 'tunnels-ending';
/** Each takes two descriptors; those of callers must not run out. */
const MAX_TUNNELS = 256;
/** Without bytes for this time, the other host is gone. */
const IDLE_TIMEOUT_MS: Milliseconds = 60_000;
/** Announcements may be lost. */
const ANNOUNCEMENT_INTERVAL_MS: Milliseconds = 100;
const DRAIN_INTERVAL_MS: Milliseconds = 20;
const LINES_PER_SECOND = 5;

export interface TunnelServerParts {
  /** The upstream instance with an id; undefined if it isn't known. */
  readonly findUpstream: (id: string) => RegisteredUpstream | undefined;
  /** Whether this host knows all upstreams. */
  readonly knowsUpstreams: () => boolean;
  /** Address that connections to upstreams start at. */
  readonly localIp: string;
  readonly reachability: Reachability;
  readonly datagrams: DatagramPort;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly reportError: ErrorReporter;
}

interface OpenTunnel {
  readonly caller: Socket;
  readonly upstream: Socket;
  /** Address of the other host for peers. */
  readonly peer: string;
}

interface TunnelRequest {
  /** Address of the other host for peers. */
  readonly peer: string;
  readonly isFramed: boolean;
}

export class TunnelServer {
  private readonly tunnels = new Set<OpenTunnel>();
  private readonly lines = new LogRateLimiter(LINES_PER_SECOND);
  private isRetired = false;

  constructor(private readonly parts: TunnelServerParts) {}

  get count(): number {
    return this.tunnels.size;
  }

  /** Handles an `upgrade` event of an HTTP server. */
  handleUpgrade(request: IncomingMessage, caller: Socket): void {
    const boundary = new ErrorBoundary(error => {
      this.parts.reportError(error, {unit: 'tunnel', path: request.url});
      resetSocket(caller);
    });
    // The socket closes after an error, which its other listeners handle.
    boundary.listen(caller, 'error', () => undefined);
    boundary.run(() => this.accept(request, caller, boundary));
  }

  private accept(
    request: IncomingMessage,
    caller: Socket,
    boundary: ErrorBoundary,
  ): void {
    const target = this.parts.findUpstream(idOf(request.url));
    const peer = request.headers[HOST_HEADER];
    if (!target || typeof peer !== 'string') {
      const knows = this.parts.knowsUpstreams();
      this.refuse(caller, knows ? 'unreachable' : 'unavailable');
      return;
    }
    const {reachability} = this.parts;
    const isFull = this.tunnels.size >= MAX_TUNNELS;
    if (this.isRetired || isFull || reachability.isCutOff(target.service)) {
      this.refuse(caller, 'unavailable');
      return;
    }
    const isFramed = offersFraming(request.headers.upgrade);
    this.open(target, caller, {peer, isFramed}, boundary);
  }

  /**
   * Asks hosts to leave the tunnels that they have through this one. Until `drain` it still helps those
   * that find no other.
   *
   * @param signal ends the announcements
   */
  async announceEnd(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const users = new Set([...this.tunnels].map(({peer}) => peer));
      this.parts.datagrams.send(TUNNELS_ENDING, [], [...users]);
      await sleep(ANNOUNCEMENT_INTERVAL_MS, signal);
    }
  }

  /**
   * Refuses further tunnels; resolves when those that are open have ended.
   *
   * @param signal ends the wait
   */
  async drain(signal: AbortSignal): Promise<void> {
    this.isRetired = true;
    while (this.tunnels.size > 0 && !signal.aborted) {
      await sleep(DRAIN_INTERVAL_MS, signal);
    }
  }

  close(): void {
    this.isRetired = true;
    for (const {caller, upstream} of this.tunnels) {
      resetSocket(caller);
      resetSocket(upstream);
    }
  }

  private open(
    target: RegisteredUpstream,
    caller: Socket,
    {peer, isFramed}: TunnelRequest,
    boundary: ErrorBoundary,
  ): void {
    const {reachability} = this.parts;
    const address = parseAddress(target.address);
    const upstream = connect({
      host: address?.ip,
      port: address?.port ?? 0,
      localAddress: this.parts.localIp,
      allowHalfOpen: true,
      noDelay: true,
    });
    const tunnel: OpenTunnel = {caller, upstream, peer};
    this.tunnels.add(tunnel);
    const fail = (failure: TunnelFailure): void => {
      clearTimeout(timer);
      upstream.destroy();
      reachability.noteFailure(target.service, target.id);
      this.refuse(caller, failure);
    };
    const timer = setTimeout(
      boundary.wrap(() => fail('unreachable')),
      CONNECT_TIMEOUT_MS,
    );
    const stopFailing = boundary.listenOnce(
      upstream,
      'error',
      ({code}: NodeJS.ErrnoException) =>
        fail(code === 'ECONNREFUSED' ? 'refused' : 'unreachable'),
    );
    // The server's sockets stay half open when the other side has ended them.
    const stopLeaving = boundary.listenOnce(caller, 'end', () =>
      caller.destroy(),
    );
    boundary.listenOnce(caller, 'close', () => upstream.destroy());
    boundary.listenOnce(upstream, 'close', () => {
      clearTimeout(timer);
      this.tunnels.delete(tunnel);
    });
    boundary.listenOnce(upstream, 'connect', () => {
      clearTimeout(timer);
      stopFailing();
      stopLeaving();
      reachability.noteAnswer(target.service, true);
      this.log(tunnel, target);
      caller.setNoDelay(true);
      [caller, upstream].forEach(socket =>
        closeWhenIdle(socket, IDLE_TIMEOUT_MS, boundary),
      );
      const protocol = isFramed ? FRAMED_PROTOCOL : PLAIN_PROTOCOL;
      caller.write(head(OPENED_STATUS, protocol));
      splice(caller, upstream, boundary, isFramed);
    });
  }

  private refuse(caller: Socket, failure: TunnelFailure): void {
    if (!caller.destroyed) {
      caller.end(head(FAILURE_STATUSES[failure]));
    }
  }

  private log({peer}: OpenTunnel, {id: upstream}: RegisteredUpstream): void {
    const {clock, logger} = this.parts;
    if (this.lines.tryTake(clock.now())) {
      logger.info(
        {event: 'tunnel', peer, upstream, open: this.tunnels.size},
        'opened a tunnel for a host that cannot reach an upstream',
      );
    }
  }
}

/** Empty, which no upstream's id is, if the path names none. */
function idOf(path = ''): string {
  if (!path.startsWith(TUNNEL_PATH)) {
    return '';
  }
  try {
    return decodeURIComponent(path.slice(TUNNEL_PATH.length));
  } catch {
    return '';
  }
}

/** Hosts offer the protocols that they know; those of earlier versions know the plain one. */
function offersFraming(offered = ''): boolean {
  return offered.split(', ').includes(FRAMED_PROTOCOL);
}

/** @param protocol of the upgrade; undefined if there is none */
function head(status: number, protocol?: string): string {
  const connection = protocol
    ? `Connection: Upgrade\r\nUpgrade: ${protocol}`
    : 'Connection: close\r\nContent-Length: 0';
  return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n${connection}\r\n\r\n`;
}
