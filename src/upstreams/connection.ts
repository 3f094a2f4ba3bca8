/**
 * One connection to an upstream, used for one exchange at a time.
 *
 * Node's agents choose a socket for each request themselves, but a probe and the
 * request that follows it must share one. So each connection has its own agent, with
 * at most one socket.
 */

import type {ClientRequest, ClientRequestArgs} from 'node:http';
import {Agent, request} from 'node:http';
import type {TcpSocketConnectOpts} from 'node:net';
import {Socket, connect} from 'node:net';
import type {Duplex} from 'node:stream';
import {PARSED_HEADER_COUNT} from '../http/index.js';
import type {ErrorHandler} from '../lifecycle/index.js';
import {ErrorBoundary, resetSocket} from '../lifecycle/index.js';
import type {RawHeaders} from '../transport/index.js';
import type {TunnelOpener} from '../tunnels/index.js';
import {TunnelSocket} from '../tunnels/index.js';

/**
 * Below the shortest known idle timeout of upstreams (10 s), so that they don't close
 * first and reset a request that is on its way.
 */
const IDLE_TIMEOUT_MS = 6_000;

export interface RequestHead {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Names and values alternate. */
  readonly headers: RawHeaders;
}

/** The two ends of a connection. */
export interface ConnectionEnds {
  readonly ip: string;
  readonly port: number;
  /** Address of this host that it connects from; any if undefined. */
  readonly localIp?: string;
}

type SocketCallback = (error: Error | null, socket: Duplex) => void;

/** Node reads no socket after an error, but its types require one. */
const NO_SOCKET = undefined as unknown as Duplex;

/** An agent with one socket, which it destroys if data or its end arrives while idle. */
class SingleSocketAgent extends Agent {
  /** Stops listening to the idle socket. */
  private stopListening: (() => void) | undefined;

  /**
   * @param openTunnel opens the socket through another host, or resolves with undefined
   *   if none helps; left out to connect directly
   */
  constructor(
    private readonly onIdleClosed: () => void,
    private readonly boundary: ErrorBoundary,
    private readonly openTunnel?: () => Promise<Duplex | undefined>,
  ) {
    super({keepAlive: true, maxSockets: 1, maxFreeSockets: 1});
  }

  /** Node accepts a socket that is passed on later. */
  override createConnection(
    options: ClientRequestArgs,
    callback?: SocketCallback,
  ): Duplex | null | undefined {
    const {openTunnel} = this;
    if (!openTunnel) {
      return super.createConnection(options, callback);
    }
    openTunnel().then(
      socket =>
        callback?.(null, socket ?? connect(options as TcpSocketConnectOpts)),
      (error: Error) => callback?.(error, NO_SOCKET),
    );
    return undefined;
  }

  /**
   * Data on an idle connection belongs to no request. Left unread, it would be parsed
   * as the start of the next response.
   */
  override keepSocketAlive(socket: Duplex): boolean {
    const {boundary, onIdleClosed} = this;
    const listeners = [
      boundary.listen(socket, 'data', () => socket.destroy()),
      // Node reports the close only in a later turn of the event loop.
      boundary.listenOnce(socket, 'end', onIdleClosed),
      boundary.listenOnce(socket, 'close', onIdleClosed),
    ];
    this.stopListening = () => listeners.forEach(stop => stop());
    return true;
  }

  override reuseSocket(socket: Duplex, outgoing: ClientRequest): void {
    super.reuseSocket(socket, outgoing);
    this.stopListening?.();
    this.stopListening = undefined;
  }
}

export class UpstreamConnection {
  private readonly agent: SingleSocketAgent;
  private readonly boundary: ErrorBoundary;
  private idleTimer: NodeJS.Timeout | undefined;
  private closed = false;
  private used = false;
  private refused = false;
  private tunnelPeer: string | undefined;

  /**
   * @param onClosed called once, when the connection is closed for good
   * @param onError called for an error of this program, which closes the connection
   * @param openTunnel opens it through another host; undefined for a direct connection
   */
  constructor(
    private readonly ends: ConnectionEnds,
    private readonly onClosed: (connection: UpstreamConnection) => void,
    onError: ErrorHandler,
    private openTunnel?: TunnelOpener,
  ) {
    this.boundary = new ErrorBoundary(error => {
      onError(error);
      this.close();
    });
    this.agent = new SingleSocketAgent(
      () => this.close(),
      this.boundary,
      openTunnel && (() => this.connectThrough(openTunnel)),
    );
  }

  /** Whether a request has been started on it. */
  get wasUsed(): boolean {
    return this.used;
  }

  /** Whether it never came about: nothing was sent. */
  get wasRefused(): boolean {
    return this.refused;
  }

  /** Whether it goes through another host, or would if one helped. */
  get isTunneled(): boolean {
    return this.openTunnel !== undefined;
  }

  /** The host through which it goes; undefined until it is open, or if it is direct. */
  get via(): string | undefined {
    return this.tunnelPeer;
  }

  get isClosed(): boolean {
    return this.closed;
  }

  /** Starts a request; the calling code writes the body and ends it. */
  startRequest(head: RequestHead): ClientRequest {
    clearTimeout(this.idleTimer);
    this.used = true;
    const outgoing = request({
      agent: this.agent,
      host: this.ends.ip,
      port: this.ends.port,
      localAddress: this.ends.localIp,
      method: head.method,
      path: head.path,
      setHost: false,
      // Node accepts alternating names and values; its types lack that form.
      headers: head.headers as unknown as string[],
    });
    outgoing.maxHeadersCount = PARSED_HEADER_COUNT;
    outgoing.setNoDelay(true);
    this.boundary.listen(outgoing, 'error', (error: NodeJS.ErrnoException) => {
      this.refused ||= error.syscall === 'connect';
    });
    return outgoing;
  }

  /** Starts the idle timeout of a connection that is back in its pool. */
  startIdleTimer(): void {
    this.idleTimer = setTimeout(
      this.boundary.wrap(() => this.close()),
      IDLE_TIMEOUT_MS,
    );
    this.idleTimer.unref();
  }

  private async connectThrough(
    openTunnel: TunnelOpener,
  ): Promise<Duplex | undefined> {
    const tunnel = await openTunnel();
    if (this.closed) {
      // Its request has ended: the agent would keep the socket for another.
      tunnel?.socket.destroy();
      throw new Error('the connection was closed while its tunnel was opened');
    }
    if (!tunnel) {
      // This host may be wrong about the cut: the direct path is all that is left.
      this.openTunnel = undefined;
      return undefined;
    }
    this.tunnelPeer = tunnel.peer;
    return tunnel.socket;
  }

  /** Closes the connection; an exchange that hasn't ended is aborted. */
  close(): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    clearTimeout(this.idleTimer);
    Object.values(this.agent.sockets).flat().forEach(resetIfConnected);
    this.agent.destroy();
    this.onClosed(this);
  }
}

/**
 * Aborts an exchange so that bytes in transit are lost. After an orderly close, a network
 * path that holds them back would deliver the request when nobody waits for it any more.
 */
export function abortExchange(outgoing: ClientRequest): void {
  resetIfConnected(outgoing.socket);
  outgoing.destroy();
}

/** A socket that is still connecting has sent nothing. */
function resetIfConnected(socket: Duplex | null | undefined): void {
  const isOpen =
    socket instanceof TunnelSocket ||
    (socket instanceof Socket && !socket.connecting);
  if (isOpen) {
    resetSocket(socket);
  }
}
