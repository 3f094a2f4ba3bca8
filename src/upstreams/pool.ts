/** Connections to one upstream, most recently used first. */

import type {ErrorHandler} from '../lifecycle/index.js';
import type {TunnelOpener} from '../tunnels/index.js';
import type {ConnectionEnds} from './connection.js';
import {UpstreamConnection} from './connection.js';

export class ConnectionPool {
  private readonly idle: UpstreamConnection[] = [];
  private readonly all = new Set<UpstreamConnection>();
  /** Connections in use that carry no further request. */
  private readonly expired = new WeakSet<UpstreamConnection>();
  private draining = false;

  /**
   * @param onError called for an error of this program in one of the connections
   * @param tunnel opens connections through another host; undefined while the upstream
   *   is reached directly
   */
  constructor(
    private readonly ends: ConnectionEnds,
    private readonly onError: ErrorHandler,
    private readonly tunnel: () => TunnelOpener | undefined = () => undefined,
  ) {}

  get openCount(): number {
    return this.all.size;
  }

  /** Whether the next request would open a connection. */
  get needsNewConnection(): boolean {
    return this.idle.length === 0;
  }

  /**
   * An idle connection, or a new one that its first request opens.
   *
   * @param tunnel opens a new one on the current path, if that isn't the direct one
   */
  acquire(tunnel = this.tunnel()): UpstreamConnection {
    return this.idle.pop() ?? this.open(tunnel);
  }

  /** A new connection, direct if there is no tunnel, which its first request opens. */
  open(tunnel: TunnelOpener | undefined): UpstreamConnection {
    const connection = new UpstreamConnection(
      this.ends,
      closed => this.forgetClosed(closed),
      this.onError,
      tunnel,
    );
    this.all.add(connection);
    return connection;
  }

  /** Returns a reusable connection to the pool. */
  release(connection: UpstreamConnection): void {
    if (connection.isClosed) {
      return;
    }
    const isTunneled = this.tunnel() !== undefined;
    const isExpired = this.expired.has(connection);
    if (this.draining || isExpired || connection.isTunneled !== isTunneled) {
      connection.close();
      return;
    }
    this.idle.push(connection);
    connection.startIdleTimer();
  }

  /** Closes idle connections now and those in use when they are released. */
  drain(): void {
    this.draining = true;
    this.closeIdle();
  }

  /** Closes idle connections; the pool can still open new ones. */
  closeIdle(): void {
    [...this.idle].forEach(connection => connection.close());
  }

  /** Closes idle connections through one host, and those in use when they are released. */
  closeThrough(peer: string): void {
    this.idle
      .filter(({via}) => via === peer)
      .forEach(connection => connection.close());
    this.all.forEach(connection => {
      if (connection.via === peer) {
        this.expired.add(connection);
      }
    });
  }

  closeAll(): void {
    this.draining = true;
    [...this.all].forEach(connection => connection.close());
  }

  private forgetClosed(connection: UpstreamConnection): void {
    this.all.delete(connection);
    const at = this.idle.indexOf(connection);
    if (at >= 0) {
      this.idle.splice(at, 1);
    }
  }
}
