/** The properties of a network link, which loopback connections lack. */

import type {Clock, Milliseconds, Random} from '../time/index.js';
import type {SocketSizes} from './socket_options.js';
import {logUniform} from './transfers.js';

const BYTES_PER_MS_AND_MBPS = 125;
/** Segments of Ethernet. */
const SEGMENT_BYTES = 1_448;
// The links of the sites to their callers.
export const MIN_CALLER_MBPS = 7;
const MAX_MBPS = 140;
/** Within a site, hosts and upstreams share faster links. */
export const MIN_UPSTREAM_MBPS = 50;
const MIN_DELAY_MS: Milliseconds = 0.9;
const MAX_DELAY_MS: Milliseconds = 8;
const MIN_WINDOW_BYTES = 8 * 1_024;
const MAX_WINDOW_BYTES = 32 * 1_024;

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

/** Draws a link with the same properties in both directions. */
export function drawLink(random: Random, minMbps: number): Link {
  const direction = {
    bytesPerMs: BYTES_PER_MS_AND_MBPS * logUniform(minMbps, MAX_MBPS, random),
    delayMs: logUniform(MIN_DELAY_MS, MAX_DELAY_MS, random),
    windowBytes: Math.round(
      logUniform(MIN_WINDOW_BYTES, MAX_WINDOW_BYTES, random),
    ),
  };
  return {
    segmentBytes: SEGMENT_BYTES,
    toTarget: direction,
    toClient: direction,
  };
}

export function mbpsOf({bytesPerMs}: LinkDirection): number {
  return bytesPerMs / BYTES_PER_MS_AND_MBPS;
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
