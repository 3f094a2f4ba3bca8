/**
 * Passes bytes of other hosts on to upstreams that those hosts can't reach (HTTP CONNECT).
 *
 * The target must be an upstream that this host knows, so that tunnels lead nowhere else,
 * and never on to another host.
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
import {parseAddress} from '../platform/index.js';
import type {Clock, Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import {
  CONNECT_TIMEOUT_MS,
  FAILURE_STATUSES,
  HOST_HEADER,
  OPENED_STATUS,
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
const LINES_PER_SECOND = 5;

export interface TunnelServerParts {
  /** The upstream that is registered with an address; undefined if there is none. */
  readonly upstreamAt: (address: string) => RegisteredUpstream | undefined;
  readonly reachability: Reachability;
  readonly datagrams: DatagramPort;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface OpenTunnel {
  readonly caller: Socket;
  readonly upstream: Socket;
  /** Address of the other host for peers. */
  readonly peer: string;
}

export class TunnelServer {
  private readonly tunnels = new Set<OpenTunnel>();
  private readonly lines = new LogRateLimiter(LINES_PER_SECOND);
  private isRetired = false;

  constructor(private readonly parts: TunnelServerParts) {}

  get count(): number {
    return this.tunnels.size;
  }

  /** Handles a `connect` event of an HTTP server. */
  handleConnect(request: IncomingMessage, caller: Socket): void {
    caller.on('error', () => undefined);
    const target = this.parts.upstreamAt(request.url ?? '');
    const peer = request.headers[HOST_HEADER];
    if (!target || typeof peer !== 'string') {
      this.refuse(caller, 'unavailable');
      return;
    }
    const {reachability} = this.parts;
    const isFull = this.tunnels.size >= MAX_TUNNELS;
    if (this.isRetired || isFull || reachability.isCutOff(target.service)) {
      this.refuse(caller, 'unavailable');
      return;
    }
    this.open(target, caller, peer);
  }

  /**
   * Refuses further tunnels and asks hosts to end theirs; resolves when they have.
   *
   * @param signal ends the wait
   */
  async drain(signal: AbortSignal): Promise<void> {
    this.isRetired = true;
    while (this.tunnels.size > 0 && !signal.aborted) {
      const peers = new Set([...this.tunnels].map(({peer}) => peer));
      this.parts.datagrams.send(TUNNELS_ENDING, [], [...peers]);
      await sleep(ANNOUNCEMENT_INTERVAL_MS, signal);
    }
  }

  close(): void {
    this.isRetired = true;
    for (const {caller, upstream} of this.tunnels) {
      caller.resetAndDestroy();
      upstream.resetAndDestroy();
    }
  }

  private open(target: RegisteredUpstream, caller: Socket, peer: string): void {
    const {reachability} = this.parts;
    const address = parseAddress(target.address);
    const upstream = connect({
      host: address?.ip,
      port: address?.port ?? 0,
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
    const timer = setTimeout(() => fail('unreachable'), CONNECT_TIMEOUT_MS);
    const handleError = (error: NodeJS.ErrnoException): void =>
      fail(error.code === 'ECONNREFUSED' ? 'refused' : 'unreachable');
    upstream.once('error', handleError);
    caller.once('close', () => upstream.destroy());
    upstream.once('close', () => {
      clearTimeout(timer);
      this.tunnels.delete(tunnel);
    });
    upstream.once('connect', () => {
      clearTimeout(timer);
      upstream.off('error', handleError);
      reachability.noteAnswer(target.service, true);
      this.log(tunnel, target);
      caller.setNoDelay(true);
      [caller, upstream].forEach(socket =>
        socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy()),
      );
      caller.write(statusLine(OPENED_STATUS));
      splice(caller, upstream);
    });
  }

  private refuse(caller: Socket, failure: TunnelFailure): void {
    if (!caller.destroyed) {
      caller.end(statusLine(FAILURE_STATUSES[failure]));
    }
  }

  private log({peer}: OpenTunnel, {id: upstream}: RegisteredUpstream): void {
    const {clock, logger} = this.parts;
    if (this.lines.tryTake(clock.now())) {
      logger.info(
        {event: 'tunnel', peer, upstream, open: this.tunnels.size},
        'opened a tunnel for a host that is cut off from an upstream',
      );
    }
  }
}

function statusLine(status: number): string {
  return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n\r\n`;
}
