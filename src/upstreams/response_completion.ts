/**
 * Distinguishes complete responses from truncated ones.
 *
 * A response without framing ends when its connection closes, and is complete only
 * if that close was orderly. libuv reports a reset that arrives together with the last
 * bytes as an orderly end, so that half a response would pass for a complete one.
 * A write tells them apart: it fails at once on a connection that was reset. The write
 * is an empty line, which HTTP/1.1 ignores between messages.
 */

import type {IncomingMessage} from 'node:http';
import {BODILESS_STATUSES} from '../http/index.js';
import type {ErrorBoundary} from '../lifecycle/index.js';

const EMPTY_LINE = '\r\n';

/** Whether the response delimits its body without closing the connection. */
export function isFramed({headers, statusCode}: IncomingMessage): boolean {
  return (
    BODILESS_STATUSES.has(statusCode ?? 0) ||
    headers['content-length'] !== undefined ||
    isChunked(headers['transfer-encoding'])
  );
}

/** A body in another transfer coding ends when its connection closes (RFC 9112, 6.3). */
function isChunked(codings = ''): boolean {
  return codings.split(',').at(-1)?.trim().toLowerCase() === 'chunked';
}

export function isKeepAlive({headers}: IncomingMessage): boolean {
  return headers.connection?.toLowerCase() !== 'close';
}

export class ResponseCompletion {
  private readonly hasFraming: boolean;

  /** @param response whose headers have just arrived */
  constructor(
    private readonly response: IncomingMessage,
    method: string,
    private readonly boundary: ErrorBoundary,
  ) {
    this.hasFraming = method === 'HEAD' || isFramed(response);
    if (!this.hasFraming) {
      const {socket} = response;
      boundary.listenFirst(socket, 'end', () => socket.write(EMPTY_LINE));
    }
  }

  /** Call once the response has ended: calls one of the two, at once or later. */
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
      this.boundary.listenOnce(socket, 'close', report);
    }
  }
}
