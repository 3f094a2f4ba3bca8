/** Connections to one upstream, most recently used first. */

import {UpstreamConnection} from './connection.js';

export class ConnectionPool {
  private readonly idle: UpstreamConnection[] = [];
  private readonly all = new Set<UpstreamConnection>();
  private draining = false;

  constructor(
    private readonly host: string,
    private readonly port: number,
  ) {}

  get openCount(): number {
    return this.all.size;
  }

  /** Whether the next exchange would open one more connection. */
  get needsNewConnection(): boolean {
    return this.idle.length === 0;
  }

  /** An idle connection, or one that will be opened by its first exchange. */
  acquire(): UpstreamConnection {
    return this.idle.pop() ?? this.open();
  }

  /** A connection that its first exchange will open. */
  open(): UpstreamConnection {
    const connection = new UpstreamConnection(this.host, this.port, closed =>
      this.forgetClosed(closed),
    );
    this.all.add(connection);
    return connection;
  }

  /** Takes back a connection whose last exchange ended in order. */
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

  /** Closes what is idle; what is in use closes when it is released. */
  drain(): void {
    this.draining = true;
    this.closeIdle();
  }

  /** Closes what is idle; others may be opened again. */
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
