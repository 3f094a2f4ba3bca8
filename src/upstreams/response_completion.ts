/**
 * Tells a whole answer from one that was cut off.
 *
 * An answer without a length ends with its connection, and is whole only if
 * that closed in order. A reset that arrives together with the last bytes is
 * reported as an orderly end by libuv, and half an answer would pass for a
 * whole one. Writing tells them apart: it fails at once on a connection that
 * was reset. An empty line between messages means nothing in HTTP/1.1.
 */

import type {IncomingMessage} from 'node:http';
import {BODILESS_STATUSES} from '../http/index.js';

const EMPTY_LINE = '\r\n';

/** Whether an answer says itself where it ends. */
export function isFramed({headers, statusCode}: IncomingMessage): boolean {
  return (
    BODILESS_STATUSES.has(statusCode ?? 0) ||
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/** Whether the upstream leaves the connection open for a next request. */
export function isKeepAlive({headers}: IncomingMessage): boolean {
  return headers.connection?.toLowerCase() !== 'close';
}

export class ResponseCompletion {
  private readonly hasFraming: boolean;

  /** @param response whose head has just come */
  constructor(
    private readonly response: IncomingMessage,
    method: string,
  ) {
    this.hasFraming = method === 'HEAD' || isFramed(response);
    if (!this.hasFraming) {
      const {socket} = response;
      socket.prependListener('end', () => socket.write(EMPTY_LINE));
    }
  }

  /** Once the answer has ended: calls one of the two, now or a little later. */
  verify(onComplete: () => void, onTruncated: () => void): void {
    const {socket} = this.response;
    const report = (): void => {
      if (socket.errored) {
        onTruncated();
      } else {
        onComplete();
      }
    };
    if (this.hasFraming) {
      onComplete();
    } else if (socket.closed) {
      report();
    } else {
      socket.once('close', report);
    }
  }
}
