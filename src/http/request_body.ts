/** Reads a request body: buffered if small, otherwise streamed once. */

import type {IncomingMessage} from 'node:http';
import {PassThrough, type Readable} from 'node:stream';
import type {ErrorBoundary} from '../lifecycle/index.js';
import {DEFAULT_BUFFERED_BODY_BYTES} from './constants.js';

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
  /** Larger bodies are refused, also when chunked. */
  readonly maxBytes: number;
}

export class BodyTooLargeError extends Error {
  constructor(maxBytes: number) {
    super(`send at most ${maxBytes} bytes`);
  }
}

/** The caller disconnected before its body was complete. */
export class BodyTruncatedError extends Error {
  constructor() {
    super('the caller disconnected while sending its body');
  }
}

const NO_BODY: RequestBody = {kind: 'none'};
const DEFAULT_LIMITS: BodyLimits = {
  canBuffer: bytes => bytes <= DEFAULT_BUFFERED_BODY_BYTES,
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
  bounds = DEFAULT_LIMITS,
): Promise<RequestBody> {
  if (!hasBody(request)) {
    request.resume();
    return Promise.resolve(NO_BODY);
  }
  const {canBuffer, maxBytes} = bounds;
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    return Promise.reject(new BodyTooLargeError(maxBytes));
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const listeners: (() => void)[] = [];
    const settle = (): void => {
      listeners.forEach(stop => stop());
    };
    const onData = (chunk: Buffer): void => {
      chunks.push(chunk);
      size += chunk.length;
      if (size > maxBytes) {
        settle();
        reject(new BodyTooLargeError(maxBytes));
      } else if (!canBuffer(size)) {
        settle();
        const stream = streamRemaining(request, chunks, maxBytes, boundary);
        const prefix = Buffer.concat(
          chunks,
          Math.min(size, DEFAULT_BUFFERED_BODY_BYTES),
        );
        resolve({kind: 'stream', stream, prefix});
      }
    };
    const onEnd = (): void => {
      settle();
      resolve({kind: 'held', bytes: Buffer.concat(chunks)});
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

/** Streams the chunks that were read, followed by the rest of the body. */
function streamRemaining(
  request: IncomingMessage,
  chunks: readonly Buffer[],
  maxBytes: number,
  boundary: ErrorBoundary,
): Readable {
  const stream = new PassThrough({highWaterMark: DEFAULT_BUFFERED_BODY_BYTES});
  let size = 0;
  chunks.forEach(chunk => {
    size += chunk.length;
    stream.write(chunk);
  });
  boundary.listen(request, 'data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > maxBytes) {
      stream.destroy(new BodyTooLargeError(maxBytes));
    }
  });
  boundary.listen(request, 'close', () => {
    // A truncated body must not look complete.
    if (!request.complete) {
      stream.destroy(new BodyTruncatedError());
    }
  });
  request.pipe(stream);
  return stream;
}
