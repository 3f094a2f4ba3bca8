/** Closes connections of a server that take too much together, for the sake of the others. */

import {ConnectionMemory} from '../decisions/limits/index.js';
import type {Clock, Milliseconds} from '../time/index.js';
import type {OpenConnection} from './open_connection.js';
import type {ClosingReason, ConnectionLimits} from './types.js';

export class ConnectionAdmission {
  private readonly connections = new Set<OpenConnection>();
  private readonly memory: ConnectionMemory<OpenConnection>;

  constructor(
    private readonly limits: ConnectionLimits,
    private readonly clock: Clock,
  ) {
    this.memory = new ConnectionMemory(limits.maxBytes);
  }

  /** Whether connections should take no more than they need. */
  get isScarce(): boolean {
    return this.memory.isScarce;
  }

  /**
   * Adds a new connection. One too many takes the place of the oldest on which nothing is
   * owed; if there is none, it is closed itself.
   */
  add(connection: OpenConnection): void {
    this.connections.add(connection);
    this.noteUse(connection);
    if (this.connections.size > this.limits.maxConnections) {
      const idle = this.findIdle(connection);
      this.close(idle ?? connection, 'descriptors');
    }
  }

  delete(connection: OpenConnection): void {
    this.connections.delete(connection);
    this.memory.delete(connection);
  }

  /** Notes what a connection takes now, and closes those that take too much. */
  noteUse(connection: OpenConnection): void {
    this.memory.set(connection, connection.use);
    this.memory
      .findExcess(this.clock.now())
      .forEach(one => this.close(one, 'memory'));
  }

  /**
   * Notes what all connections take now: callers may have read meanwhile. Those that have
   * read nothing of a response for too long are closed.
   */
  noteAll(maxUnreadMs: Milliseconds): void {
    const now = this.clock.now();
    for (const connection of this.connections) {
      connection.noteUse();
      const sinceMs = now - connection.use.progressedAt;
      if (connection.isUnread && sinceMs > maxUnreadMs) {
        this.close(connection, 'unread');
      }
    }
  }

  private findIdle(newest: OpenConnection): OpenConnection | undefined {
    for (const connection of this.connections) {
      if (connection.isIdle && connection !== newest) {
        return connection;
      }
    }
    return undefined;
  }

  private close(connection: OpenConnection, reason: ClosingReason): void {
    this.limits.onExcess(reason, connection.use);
    this.delete(connection);
    connection.socket.destroy();
  }
}
