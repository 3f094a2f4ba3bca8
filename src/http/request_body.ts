/** A caller's body: held whole when small, else streamed once. */

import type {IncomingMessage} from 'node:http';
import {PassThrough, type Readable} from 'node:stream';
import {DEFAULT_BUFFERED_BODY_BYTES} from './constants.js';

export type RequestBody =
  | {readonly kind: 'none'}
  | {readonly kind: 'held'; readonly bytes: Buffer}
  /** Can be sent once only. */
  | {
      readonly kind: 'stream';
      readonly stream: Readable;
      /** What had arrived when it began to be passed on; 64 kB at most. */
      readonly prefix: Buffer;
    };

export interface BodyLimits {
  /** Whether a body of this size may be held; asked as it grows. */
  readonly canBuffer: (bytes: number) => boolean;
  /** Larger ones are refused, also while they arrive in chunks. */
  readonly maxBytes: number;
}

/** The body is larger than callers may send. */
export class BodyTooLargeError extends Error {
  constructor(mostBytes: number) {
    super(`send at most ${mostBytes} bytes`);
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
 * Reads the body until it ends or grows too large to hold. Rejects when the
 * caller breaks off first, or with BodyTooLargeError: nothing has been
 * forwarded then. A stream that grows too large later fails with the same
 * error.
 */
export function readBody(
  request: IncomingMessage,
  bounds = DEFAULT_LIMITS,
): Promise<RequestBody> {
  if (!hasBody(request)) {
    request.resume();
    return Promise.resolve(NO_BODY);
  }
  const {canBuffer: mayHold, maxBytes: mostBytes} = bounds;
  if (Number(request.headers['content-length'] ?? 0) > mostBytes) {
    return Promise.reject(new BodyTooLargeError(mostBytes));
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const settle = (): void => {
      request.off('data', onData).off('end', onEnd).off('close', onClose);
    };
    const onData = (chunk: Buffer): void => {
      chunks.push(chunk);
      size += chunk.length;
      if (size > mostBytes) {
        settle();
        reject(new BodyTooLargeError(mostBytes));
      } else if (!mayHold(size)) {
        settle();
        const stream = streamRemaining(request, chunks, mostBytes);
        const begun = Buffer.concat(
          chunks,
          Math.min(size, DEFAULT_BUFFERED_BODY_BYTES),
        );
        resolve({kind: 'stream', stream, prefix: begun});
      }
    };
    const onEnd = (): void => {
      settle();
      resolve({kind: 'held', bytes: Buffer.concat(chunks)});
    };
    const onClose = (): void => {
      settle();
      reject(new Error('the caller broke off while sending its body'));
    };
    request.on('data', onData).on('end', onEnd).on('close', onClose);
  });
}

/** What was read, followed by what is still to come. */
function streamRemaining(
  request: IncomingMessage,
  chunks: readonly Buffer[],
  mostBytes: number,
): Readable {
  const stream = new PassThrough({highWaterMark: DEFAULT_BUFFERED_BODY_BYTES});
  let size = 0;
  chunks.forEach(chunk => {
    size += chunk.length;
    stream.write(chunk);
  });
  request.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > mostBytes) {
      stream.destroy(new BodyTooLargeError(mostBytes));
    }
  });
  request.on('close', () => {
    // A body cut short must not look like one that ended.
    if (!request.complete) {
      stream.destroy(new Error('the caller broke off while sending its body'));
    }
  });
  request.pipe(stream);
  return stream;
}
