/** A caller's body: held whole when small, else streamed once. */

import type {IncomingMessage} from 'node:http';
import {PassThrough, type Readable} from 'node:stream';
import {HELD_BODY_BYTES} from './constants.js';

export type RequestBody =
  | {readonly kind: 'none'}
  | {readonly kind: 'held'; readonly bytes: Buffer}
  /** Can be sent once only. */
  | {readonly kind: 'stream'; readonly stream: Readable};

const NO_BODY: RequestBody = {kind: 'none'};

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
 * caller breaks off first: nothing has been forwarded then.
 */
export function readBody(
  request: IncomingMessage,
  heldBytes = HELD_BODY_BYTES,
): Promise<RequestBody> {
  if (!hasBody(request)) {
    request.resume();
    return Promise.resolve(NO_BODY);
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
      if (size > heldBytes) {
        settle();
        resolve({kind: 'stream', stream: resume(request, chunks)});
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
function resume(request: IncomingMessage, chunks: readonly Buffer[]): Readable {
  const stream = new PassThrough({highWaterMark: HELD_BODY_BYTES});
  chunks.forEach(chunk => stream.write(chunk));
  request.on('close', () => {
    // A body cut short must not look like one that ended.
    if (!request.complete) {
      stream.destroy(new Error('the caller broke off while sending its body'));
    }
  });
  request.pipe(stream);
  return stream;
}
