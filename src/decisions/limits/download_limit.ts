/**
 * Bounds the downloads that a host has in flight by what its network link carries
 * without delaying small responses, and by the memory that buffers them.
 *
 * A response of 540 kB occupies a link of 7 Mbit/s for 600 ms, and a small response
 * that is ready meanwhile is sent behind it. The sizes of downloads are learnt from
 * complete responses. What is written last is assumed to leave the host at the speed of
 * the link: the operating system accepts bytes long before they are sent.
 */

import type {Clock, Milliseconds} from '../../time/index.js';

/** Size assumed before the first download of a route is complete. */
const INITIAL_BYTES = 100_000;
/** Weight of a response in the moving average of sizes. */
const SIZE_SAMPLE_WEIGHT = 0.1;
/** A response is held in pieces and once more as a whole. */
const COPIES_IN_MEMORY = 2;

export interface DownloadLimitParts {
  readonly clock: Clock;
  readonly linkBytesPerMs: number;
  readonly memoryBytes: number;
  /** Time by which downloads may delay a small response. */
  readonly toleratedDelayMs: () => Milliseconds;
}

/** A download in flight. */
export interface Download {
  readonly route: string;
  readonly expectedBytes: number;
}

/** What the downloads of a host occupy. */
export interface DownloadLoad {
  readonly inFlight: number;
  /** Time that the link needs to send all downloads. */
  readonly linkMs: Milliseconds;
  /** Longest such time at which another download begins. */
  readonly maxLinkMs: Milliseconds;
}

export class DownloadLimit {
  private readonly meanBytesByRoute = new Map<string, number>();
  private readonly inFlight = new Set<Download>();
  /** Bytes that were written but may not have been sent, as of `drainedAt`. */
  private unsentBytes = 0;
  private drainedAt: Milliseconds;

  constructor(private readonly parts: DownloadLimitParts) {
    this.drainedAt = parts.clock.now();
  }

  get load(): DownloadLoad {
    const {linkBytesPerMs, toleratedDelayMs} = this.parts;
    return {
      inFlight: this.inFlight.size,
      linkMs: this.linkBytes / linkBytesPerMs,
      maxLinkMs: toleratedDelayMs(),
    };
  }

  /** Begins a download; undefined if the link or the memory can't carry it. */
  tryBegin(route: string): Download | undefined {
    const expectedBytes = this.meanBytesByRoute.get(route) ?? INITIAL_BYTES;
    if (!this.isIdle && !this.hasRoomFor(expectedBytes)) {
      return undefined;
    }
    const download = {route, expectedBytes};
    this.inFlight.add(download);
    return download;
  }

  /** @param isComplete whether the bytes sent are a whole, successful response */
  end(download: Download, sentBytes: number, isComplete: boolean): void {
    if (!this.inFlight.delete(download)) {
      return;
    }
    this.drain();
    this.unsentBytes += sentBytes;
    if (isComplete) {
      const {route, expectedBytes} = download;
      const mean = this.meanBytesByRoute.get(route) ?? expectedBytes;
      const change = SIZE_SAMPLE_WEIGHT * (sentBytes - mean);
      this.meanBytesByRoute.set(route, mean + change);
    }
  }

  private get isIdle(): boolean {
    return this.linkBytes === 0;
  }

  private hasRoomFor(bytes: number): boolean {
    const {linkBytesPerMs, memoryBytes, toleratedDelayMs} = this.parts;
    return (
      this.linkBytes + bytes <= linkBytesPerMs * toleratedDelayMs() &&
      COPIES_IN_MEMORY * (this.expectedBytes + bytes) <= memoryBytes
    );
  }

  private get linkBytes(): number {
    this.drain();
    return this.unsentBytes + this.expectedBytes;
  }

  private get expectedBytes(): number {
    let sum = 0;
    this.inFlight.forEach(one => (sum += one.expectedBytes));
    return sum;
  }

  private drain(): void {
    const now = this.parts.clock.now();
    const sent = (now - this.drainedAt) * this.parts.linkBytesPerMs;
    this.unsentBytes = Math.max(0, this.unsentBytes - sent);
    this.drainedAt = now;
  }
}
