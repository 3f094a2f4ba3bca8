/**
 * Bounds the memory that all connections of a process take together.
 *
 * A limit for each connection alone lets many of them exceed the memory of the machine.
 * Where they do, those are closed first that take much and have made no progress for long:
 * a caller that sends or receives, however slowly, stays.
 */

import type {Milliseconds} from '../../time/index.js';

/** Share of the memory that is in use after connections were closed for it. */
const SHARE_AFTER_CLOSING = 0.9;
/** From this share on, connections take no more than they need. */
const SCARCE_SHARE = 0.5;

/** What one connection takes. */
export interface ConnectionUse {
  readonly bytes: number;
  /** When bytes of it last went either way. */
  readonly progressedAt: Milliseconds;
}

export class ConnectionMemory<Connection> {
  private readonly uses = new Map<Connection, ConnectionUse>();
  private total = 0;

  constructor(private readonly maxBytes: number) {}

  get usedBytes(): number {
    return this.total;
  }

  get isScarce(): boolean {
    return this.total > SCARCE_SHARE * this.maxBytes;
  }

  set(connection: Connection, use: ConnectionUse): void {
    this.delete(connection);
    this.uses.set(connection, use);
    this.total += use.bytes;
  }

  delete(connection: Connection): void {
    const use = this.uses.get(connection);
    if (use) {
      this.uses.delete(connection);
      this.total -= use.bytes;
    }
  }

  /** Connections to close so that the others fit; none if all do. */
  findExcess(now: Milliseconds): readonly Connection[] {
    if (this.total <= this.maxBytes) {
      return [];
    }
    const byCost = [...this.uses].sort(
      ([, one], [, other]) => costOf(other, now) - costOf(one, now),
    );
    const excess: Connection[] = [];
    let left = this.total;
    for (const [connection, {bytes}] of byCost) {
      if (left <= SHARE_AFTER_CLOSING * this.maxBytes) {
        break;
      }
      excess.push(connection);
      left -= bytes;
    }
    return excess;
  }
}

function costOf(
  {bytes, progressedAt}: ConnectionUse,
  now: Milliseconds,
): number {
  return bytes * (1 + Math.max(0, now - progressedAt));
}
