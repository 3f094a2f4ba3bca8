/** The rest of a request body that is too large to buffer, while it arrives. */

import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import type {ErrorBoundary} from '../lifecycle/index.js';
import {DEFAULT_BUFFERED_BODY_BYTES} from './constants.js';
import {BodyTooLargeError, BodyTruncatedError} from './errors.js';
import {GrowingBuffer} from './growing_buffer.js';
import type {BodyInput} from './types.js';

export interface RemainingBodyParts {
  readonly request: IncomingMessage;
  /** A larger body fails the stream. */
  readonly maxBytes: number;
  readonly boundary: ErrorBoundary;
  /** Held while the stream is full. */
  readonly input: BodyInput;
}

/** Passes on what arrives together as one, however small the pieces are. */
export class RemainingBody extends Readable {
  private readonly unsent = new GrowingBuffer();
  private readonly listeningStops: readonly (() => void)[];
  private size: number;
  private isFlushScheduled = false;
  private releaseInput: (() => void) | undefined;

  /** @param arrived the first part of the body */
  constructor(
    arrived: Buffer,
    private readonly parts: RemainingBodyParts,
  ) {
    super({highWaterMark: DEFAULT_BUFFERED_BODY_BYTES});
    const {request, boundary} = parts;
    this.size = arrived.length;
    this.unsent.append(arrived);
    this.scheduleFlush();
    this.listeningStops = [
      boundary.listen(request, 'data', (piece: Buffer) => this.add(piece)),
      boundary.listen(request, 'end', () => {
        this.flush();
        this.push(null);
      }),
      boundary.listen(request, 'close', () => {
        // A truncated body must not look complete.
        if (!request.complete) {
          this.destroy(new BodyTruncatedError());
        }
      }),
    ];
  }

  override _read(): void {
    this.releaseInput?.();
    this.releaseInput = undefined;
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    this.listeningStops.forEach(stop => stop());
    this._read();
    callback(error);
  }

  private add(piece: Buffer): void {
    const {maxBytes, input} = this.parts;
    input.noteBody();
    this.size += piece.length;
    if (this.size > maxBytes) {
      this.destroy(new BodyTooLargeError(maxBytes));
      return;
    }
    this.unsent.append(piece);
    this.scheduleFlush();
  }

  private scheduleFlush(): void {
    if (!this.isFlushScheduled) {
      this.isFlushScheduled = true;
      queueMicrotask(this.parts.boundary.wrap(() => this.flush()));
    }
  }

  private flush(): void {
    this.isFlushScheduled = false;
    if (this.unsent.length === 0 || this.destroyed) {
      return;
    }
    if (!this.push(this.unsent.take())) {
      this.releaseInput ??= this.parts.input.hold();
    }
  }
}
