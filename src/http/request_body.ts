/** Reads a request body: buffered if small, otherwise streamed once. */

import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';
import type {ErrorBoundary} from '../lifecycle/index.js';
import {DEFAULT_BUFFERED_BODY_BYTES} from './constants.js';
import {BodyTooLargeError, BodyTruncatedError} from './errors.js';
import {GrowingBuffer} from './growing_buffer.js';
import {RemainingBody} from './remaining_body.js';
import type {BodyInput} from './types.js';

export type RequestBody =
  | {readonly kind: 'none'}
  | {readonly kind: 'held'; readonly bytes: Buffer}
  /** Can be sent once only. */
  | {
      readonly kind: 'stream';
      readonly stream: Readable;
      /** Bytes that had arrived when streaming began; 64 kB at most. */
      readonly prefix: Buffer;
    };

export interface BodyLimits {
  /** Whether a body of this size may be buffered; called as it grows. */
  readonly canBuffer: (bytes: number) => boolean;
  /** Larger bodies aren't buffered. */
  readonly maxBufferedBytes: number;
  /** Larger bodies are refused, also when chunked. */
  readonly maxBytes: number;
}

const NO_BODY: RequestBody = {kind: 'none'};
const DEFAULT_LIMITS: BodyLimits = {
  canBuffer: bytes => bytes <= DEFAULT_BUFFERED_BODY_BYTES,
  maxBufferedBytes: DEFAULT_BUFFERED_BODY_BYTES,
  maxBytes: Infinity,
};

/** Whether the request's framing announces a body. */
export function hasBody(request: IncomingMessage): boolean {
  const {headers} = request;
  return (
    headers['transfer-encoding'] !== undefined ||
    (headers['content-length'] !== undefined &&
      headers['content-length'] !== '0')
  );
}

/**
 * Reads the body until it ends or grows too large to buffer. Rejects if the caller
 * disconnects first, with BodyTruncatedError, or with BodyTooLargeError: nothing has been forwarded then. A
 * stream that exceeds the limit later fails with the same error.
 */
export function readBody(
  request: IncomingMessage,
  boundary: ErrorBoundary,
  input: BodyInput,
  bounds = DEFAULT_LIMITS,
): Promise<RequestBody> {
  if (!hasBody(request)) {
    request.resume();
    return Promise.resolve(NO_BODY);
  }
  const {canBuffer, maxBufferedBytes, maxBytes} = bounds;
  const length = Number(request.headers['content-length'] ?? 0);
  if (length > maxBytes) {
    return Promise.reject(new BodyTooLargeError(maxBytes));
  }
  return new Promise((resolve, reject) => {
    const body = new GrowingBuffer(length <= maxBufferedBytes ? length : 0);
    const listeners: (() => void)[] = [];
    const settle = (): void => {
      listeners.forEach(stop => stop());
    };
    const onData = (piece: Buffer): void => {
      input.noteBody();
      body.append(piece);
      if (body.length > maxBytes) {
        settle();
        reject(new BodyTooLargeError(maxBytes));
      } else if (!canBuffer(body.length)) {
        settle();
        const arrived = body.toBuffer();
        const stream = new RemainingBody(arrived, {
          request,
          maxBytes,
          boundary,
          input,
        });
        resolve({kind: 'stream', stream, prefix: prefixOf(arrived)});
      }
    };
    const onEnd = (): void => {
      settle();
      resolve({kind: 'held', bytes: body.toBuffer()});
    };
    const onClose = (): void => {
      settle();
      reject(new BodyTruncatedError());
    };
    listeners.push(
      boundary.listen(request, 'data', onData),
      boundary.listen(request, 'end', onEnd),
      boundary.listen(request, 'close', onClose),
    );
  });
}

/** A copy, which doesn't keep the rest from being freed. */
function prefixOf(arrived: Buffer): Buffer {
  return Buffer.from(arrived.subarray(0, DEFAULT_BUFFERED_BODY_BYTES));
}
