/** Large requests and responses, and callers that read them slowly. */

import type {RouteSpec} from '../standins/index.js';
import {routesOf} from '../standins/index.js';
import type {Milliseconds, Random} from '../time/index.js';

export type TransferKind = 'download' | 'stream' | 'upload';

export interface Transfer {
  readonly kind: TransferKind;
  /** Appended to the body of an upload, and to the response. */
  readonly paddingBytes: number;
  /** Rate at which the caller reads. */
  readonly readBytesPerMs: number;
}

interface TransferLoad {
  /** Share of the callers' requests. */
  readonly share: number;
  readonly minBytes: number;
  readonly maxBytes: number;
}

const LOADS: Readonly<Record<TransferKind, TransferLoad>> = {
  download: {share: 0.45, minBytes: 10_000, maxBytes: 540_000},
  // Hosts stream responses that exceed 1 MB.
  stream: {share: 0.02, minBytes: 1_100_000, maxBytes: 1_300_000},
  upload: {share: 0.08, minBytes: 10_000, maxBytes: 200_000},
};
const KINDS = Object.keys(LOADS) as readonly TransferKind[];
const ROUTE_KINDS: Readonly<Record<string, RouteSpec['kind']>> = {
  '/download/': 'download',
  '/stream/': 'download',
  '/upload/': 'upload',
};
const ROUTE_TIMEOUT = '5s';
const SLOW_READER_SHARE = 0.5;
const MIN_READ_BYTES_PER_MS = 300;
const MAX_READ_BYTES_PER_MS = 3_300;
/** A slow reader would be done within this time if it were alone on its link. */
const MAX_READ_MS: Milliseconds = 1_500;
const PADDING = Buffer.alloc(2 * LOADS.stream.maxBytes, 'x');
const PADDED_TARGET = /^\/(?:download|stream)\/\d+\/(\d+)$/;

export function transferRoutes(
  hostname: string,
  service: string,
): readonly RouteSpec[] {
  return routesOf(hostname, service, ROUTE_KINDS).map(route => ({
    ...route,
    timeout: ROUTE_TIMEOUT,
  }));
}

/** Draws a transfer; undefined for the share of other requests. */
export function drawTransfer(random: Random): Transfer | undefined {
  let rest = random();
  const kind = KINDS.find(one => (rest -= LOADS[one].share) < 0);
  if (!kind) {
    return undefined;
  }
  const {minBytes, maxBytes} = LOADS[kind];
  const paddingBytes = Math.round(logUniform(minBytes, maxBytes, random));
  const isSlow = random() < SLOW_READER_SHARE;
  const rate = logUniform(MIN_READ_BYTES_PER_MS, MAX_READ_BYTES_PER_MS, random);
  const readBytesPerMs = isSlow
    ? Math.max(rate, paddingBytes / MAX_READ_MS)
    : Infinity;
  return {kind, paddingBytes, readBytesPerMs};
}

export function logUniform(min: number, max: number, random: Random): number {
  return min * (max / min) ** random();
}

/** Size of the padding that a target asks for in the response. */
export function responsePadding(target: string): number {
  return Number(PADDED_TARGET.exec(target)?.[1] ?? 0);
}

export function paddingOf(bytes: number): Buffer {
  return PADDING.subarray(0, bytes);
}

/** The body without its padding, or the whole body if that isn't as expected. */
export function withoutPadding(body: Buffer, bytes: number): string {
  const end = body.length - bytes;
  const isWhole = end >= 0 && body.subarray(end).equals(paddingOf(bytes));
  return body.toString('latin1', 0, isWhole ? end : body.length);
}
