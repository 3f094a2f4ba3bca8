/** The properties of a network link, which loopback connections lack. */

import type {Clock, Milliseconds} from '../time/index.js';
import type {SocketSizes} from './socket_options.js';

export interface LinkDirection {
  readonly bytesPerMs: number;
  readonly delayMs: Milliseconds;
  /** Bytes of one connection that may be under way. */
  readonly windowBytes: number;
}

export interface Link {
  readonly segmentBytes: number;
  readonly toTarget: LinkDirection;
  readonly toClient: LinkDirection;
}

/** Sizes of a socket that receives from one direction and sends into the other. */
export function sizesOf(
  segmentBytes: number,
  receives: LinkDirection,
  sends: LinkDirection,
): SocketSizes {
  return {
    segmentBytes,
    receiveBytes: receives.windowBytes,
    sendBytes: sends.windowBytes,
  };
}

/** Shares the rate of one direction among its connections, in order of arrival. */
export class Pacer {
  private freeAt: Milliseconds = 0;

  constructor(
    readonly direction: LinkDirection,
    private readonly clock: Clock,
  ) {}

  /** Returns the time until the last of these bytes reaches the other end. */
  send(bytes: number): Milliseconds {
    const now = this.clock.now();
    const {bytesPerMs, delayMs} = this.direction;
    this.freeAt = Math.max(this.freeAt, now) + bytes / bytesPerMs;
    return this.freeAt + delayMs - now;
  }
}
