/** Connections to one upstream, most recently used first. */

import type {ErrorHandler} from '../lifecycle/index.js';
import type {Clock, Milliseconds} from '../time/index.js';
import type {TunnelOpener} from '../tunnels/index.js';
import type {ConnectionEnds} from './connection.js';
import {UpstreamConnection} from './connection.js';

/** Interval at which a new connection tries a path that refused one. */
const RETRIAL_INTERVAL_MS: Milliseconds = 1_000;

/** How connections of a pool reach their upstream. */
export interface ConnectionPaths {
  /** Opens all through another host; undefined while the upstream is reached directly. */
  readonly tunnel: () => TunnelOpener | undefined;
  /** Opens one through another host where the direct path refuses it. */
  readonly detour: TunnelOpener;
}

export class ConnectionPool {
  private readonly idle: UpstreamConnection[] = [];
  private readonly all = new Set<UpstreamConnection>();
  /** Connections in use that carry no further request. */
  private readonly expired = new WeakSet<UpstreamConnection>();
  /** Open direct connections that have carried an exchange. */
  private readonly established = new Set<UpstreamConnection>();
  /** When the direct path last refused a connection; undefined once one comes about. */
  private refusedAt: Milliseconds | undefined;
  private draining = false;

  /** @param onError called for an error of this program in one of the connections */
  constructor(
    private readonly ends: ConnectionEnds,
    private readonly onError: ErrorHandler,
    private readonly clock: Clock,
    private readonly paths?: ConnectionPaths,
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
  acquire(tunnel = this.tunnel): UpstreamConnection {
    return this.idle.pop() ?? this.open(tunnel ?? this.takeDetour());
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
    const isExpired = this.expired.has(connection);
    if (this.draining || isExpired || !this.isOnCurrentPath(connection)) {
      connection.close();
      return;
    }
    if (!connection.isTunneled && !this.established.has(connection)) {
      this.established.add(connection);
      this.refusedAt = undefined;
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

  private get tunnel(): TunnelOpener | undefined {
    return this.paths?.tunnel();
  }

  /**
   * A path may refuse new connections while open ones live on. An upstream that has ended
   * has none: then a refusal says nothing of the path.
   */
  private get refusesNew(): boolean {
    return this.refusedAt !== undefined && this.established.size > 0;
  }

  /** Undefined where the direct path is open, or due to be tried again. */
  private takeDetour(): TunnelOpener | undefined {
    if (!this.refusesNew) {
      return undefined;
    }
    const now = this.clock.now();
    if (now - (this.refusedAt ?? now) >= RETRIAL_INTERVAL_MS) {
      this.refusedAt = now;
      return undefined;
    }
    return this.paths?.detour;
  }

  private isOnCurrentPath({isTunneled}: UpstreamConnection): boolean {
    const isCutOff = this.tunnel !== undefined;
    return isTunneled ? isCutOff || this.refusesNew : !isCutOff;
  }

  private forgetClosed(connection: UpstreamConnection): void {
    this.all.delete(connection);
    this.established.delete(connection);
    if (connection.wasRefused && !connection.isTunneled) {
      this.refusedAt = this.clock.now();
    }
    const at = this.idle.indexOf(connection);
    if (at >= 0) {
      this.idle.splice(at, 1);
    }
  }
}
