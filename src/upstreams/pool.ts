/** Connections to one upstream, most recently used first. */

import type {ConnectionEnds} from './connection.js';
import {UpstreamConnection} from './connection.js';

export class ConnectionPool {
  private readonly idle: UpstreamConnection[] = [];
  private readonly all = new Set<UpstreamConnection>();
  private draining = false;

  constructor(private readonly ends: ConnectionEnds) {}

  get openCount(): number {
    return this.all.size;
  }

  /** Whether the next request would open a connection. */
  get needsNewConnection(): boolean {
    return this.idle.length === 0;
  }

  /** An idle connection, or a new one that its first request opens. */
  acquire(): UpstreamConnection {
    return this.idle.pop() ?? this.open();
  }

  /** A new connection, which its first request opens. */
  open(): UpstreamConnection {
    const connection = new UpstreamConnection(this.ends, closed =>
      this.forgetClosed(closed),
    );
    this.all.add(connection);
    return connection;
  }

  /** Returns a reusable connection to the pool. */
  release(connection: UpstreamConnection): void {
    if (connection.isClosed) {
      return;
    }
    if (this.draining) {
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
