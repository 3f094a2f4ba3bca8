/**
 * One connection to an upstream, used for one exchange at a time.
 *
 * Node's agents choose a socket for each request by themselves; here a probe
 * and the request that follows it must share one, so each connection has an
 * agent of its own that holds at most one socket.
 */

import type {ClientRequest} from 'node:http';
import {Agent, request} from 'node:http';
import type {Duplex} from 'node:stream';
import type {RawHeaders} from '../transport/index.js';

/**
 * Idle connections are closed after this time, in ms: before the shortest
 * idle timeout that upstreams are known to have (10 s), so that they don't
 * close first and reset a request that is on its way.
 */
const IDLE_TIMEOUT_MS = 6_000;

export interface RequestHead {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: RawHeaders;
}

/** An agent of one socket that closes it on bytes nobody asked for. */
class SingleSocketAgent extends Agent {
  private idleSocket: Duplex | undefined;

  constructor(private readonly onIdleClosed: () => void) {
    super({keepAlive: true, maxSockets: 1, maxFreeSockets: 1});
  }

  /**
   * Bytes on an idle connection belong to no request. Left in place, they
   * would be read as the start of the next answer.
   */
  override keepSocketAlive(socket: Duplex): boolean {
    socket.on('data', this.destroyIdleSocket);
    socket.once('close', this.onIdleClosed);
    this.idleSocket = socket;
    return true;
  }

  override reuseSocket(socket: Duplex, outgoing: ClientRequest): void {
    super.reuseSocket(socket, outgoing);
    socket.off('data', this.destroyIdleSocket);
    socket.off('close', this.onIdleClosed);
    this.idleSocket = undefined;
  }

  private readonly destroyIdleSocket = (): void => {
    this.idleSocket?.destroy();
  };
}

export class UpstreamConnection {
  private readonly agent: SingleSocketAgent;
  private idleTimer: NodeJS.Timeout | undefined;
  private closed = false;

  /** @param onClosed called once, when the connection can't be used again */
  constructor(
    private readonly host: string,
    private readonly port: number,
    private readonly onClosed: (connection: UpstreamConnection) => void,
  ) {
    this.agent = new SingleSocketAgent(() => this.close());
  }

  get isClosed(): boolean {
    return this.closed;
  }

  /** Begins an exchange; the caller writes the body and ends it. */
  startRequest(head: RequestHead): ClientRequest {
    clearTimeout(this.idleTimer);
    const outgoing = request({
      agent: this.agent,
      host: this.host,
      port: this.port,
      method: head.method,
      path: head.path,
      setHost: false,
      // Node takes names and values in turn; its types lack that form.
      headers: head.headers as unknown as string[],
    });
    outgoing.setNoDelay(true);
    return outgoing;
  }

  /** Starts the idle time; the connection is back in its pool. */
  startIdleTimer(): void {
    this.idleTimer = setTimeout(() => this.close(), IDLE_TIMEOUT_MS);
    this.idleTimer.unref();
  }

  close(): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    clearTimeout(this.idleTimer);
    this.agent.destroy();
    this.onClosed(this);
  }
}
