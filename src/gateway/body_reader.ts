/** Reads one request body within the host's memory budget for bodies. */

import type {IncomingMessage} from 'node:http';
import type {ByteBudget} from '../decisions/limits/index.js';
import type {RequestBody} from '../http/index.js';
import {hasBody, readBody} from '../http/index.js';
import type {ErrorBoundary} from '../lifecycle/index.js';

/** Bodies up to this size are buffered, so that the request can be retried. */
const MAX_BUFFERED_BODY_BYTES = 1024 * 1024;
/** Reserved at a time for a body that is streamed or has no Content-Length. */
const RESERVATION_STEP_BYTES = 64 * 1024;

export class BodyReader {
  private readonly releases: (() => void)[] = [];
  private reservedBytes = 0;

  constructor(
    private readonly budget: ByteBudget,
    private readonly boundary: ErrorBoundary,
  ) {}

  /**
   * Waits for a memory reservation, then reads. A body that is too large to
   * buffer, or outgrows the available memory, is streamed and can be sent once only.
   *
   * @param signal ends the wait for memory; the body is then undefined
   */
  async read(
    request: IncomingMessage,
    maxBytes: number,
    signal: AbortSignal,
  ): Promise<RequestBody | undefined> {
    const length = Number(request.headers['content-length'] ?? NaN);
    if (hasBody(request) && !(length > maxBytes)) {
      const initialBytes =
        length <= MAX_BUFFERED_BODY_BYTES ? length : RESERVATION_STEP_BYTES;
      await this.reserve(initialBytes, signal);
      if (signal.aborted) {
        return undefined;
      }
    }
    const isStreamed = length > MAX_BUFFERED_BODY_BYTES;
    return readBody(request, this.boundary, {
      canBuffer: bytes =>
        bytes <= this.reservedBytes ||
        (!isStreamed && this.extendReservation()),
      maxBytes,
    });
  }

  /** Releases the reserved memory. */
  release(): void {
    this.releases.splice(0).forEach(release => release());
  }

  private reserve(bytes: number, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const release = this.budget.reserve(bytes, () => {
        this.reservedBytes = bytes;
        resolve();
      });
      this.releases.push(release);
      signal.addEventListener('abort', () => resolve(), {once: true});
    });
  }

  private extendReservation(): boolean {
    if (this.reservedBytes + RESERVATION_STEP_BYTES > MAX_BUFFERED_BODY_BYTES) {
      return false;
    }
    if (!this.budget.tryReserve(RESERVATION_STEP_BYTES)) {
      return false;
    }
    this.reservedBytes += RESERVATION_STEP_BYTES;
    this.releases.push(() => this.budget.release(RESERVATION_STEP_BYTES));
    return true;
  }
}
