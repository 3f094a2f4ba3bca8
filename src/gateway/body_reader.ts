/** Reads one request body within the host's memory budget for bodies. */

import type {IncomingMessage} from 'node:http';
import type {ByteBudget} from '../decisions/limits/index.js';
import type {BodyInput, RequestBody} from '../http/index.js';
import {hasBody, readBody} from '../http/index.js';
import type {ErrorBoundary} from '../lifecycle/index.js';

/** Bodies up to this size are buffered, so that the request can be retried. */
const MAX_BUFFERED_BODY_BYTES = 1024 * 1024;
/** Reserved for a body that is streamed or has no Content-Length. */
const STREAM_BYTES = 192 * 1024;
/** Reserved at a time for such a body while it is buffered and grows. */
const RESERVATION_STEP_BYTES = 64 * 1024;

export class BodyReader {
  private readonly releases: (() => void)[] = [];
  private reservedBytes = 0;

  constructor(
    private readonly budget: ByteBudget,
    private readonly boundary: ErrorBoundary,
    private readonly input: BodyInput,
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
        length <= MAX_BUFFERED_BODY_BYTES ? length : STREAM_BYTES;
      await this.reserve(initialBytes, signal);
      if (signal.aborted) {
        return undefined;
      }
    }
    const isStreamed = length > MAX_BUFFERED_BODY_BYTES;
    const body = await readBody(request, this.boundary, this.input, {
      canBuffer: bytes =>
        bytes <= this.reservedBytes ||
        (!isStreamed && this.extendReservation()),
      maxBufferedBytes: MAX_BUFFERED_BODY_BYTES,
      maxBytes,
    });
    if (body.kind === 'stream') {
      this.releases.push(() => body.stream.destroy());
    }
    if (body.kind === 'held' && body.bytes.length < this.reservedBytes) {
      this.reduceReservation(body.bytes.length);
    }
    return body;
  }

  /** Releases the reserved memory; a stream is read no further. */
  release(): void {
    this.releases.splice(0).forEach(release => release());
  }

  private async reserve(bytes: number, signal: AbortSignal): Promise<void> {
    const granted = new Promise<void>(resolve => {
      const release = this.budget.reserve(bytes, () => {
        this.reservedBytes = bytes;
        resolve();
      });
      this.releases.push(release);
      signal.addEventListener('abort', () => resolve(), {once: true});
    });
    const releaseInput = this.reservedBytes > 0 ? undefined : this.input.hold();
    await granted;
    releaseInput?.();
  }

  /** Replaces the reservation by a smaller one: a chunked body needed less. */
  private reduceReservation(bytes: number): void {
    this.budget.charge(bytes);
    this.release();
    this.reservedBytes = bytes;
    this.releases.push(() => this.budget.release(bytes));
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
