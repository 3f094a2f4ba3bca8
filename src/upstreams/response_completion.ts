/**
 * Distinguishes complete responses from truncated ones.
 *
 * A response without framing ends when its connection closes, and is complete only
 * if that close was orderly. libuv reports a reset that arrives together with the last
 * bytes as an orderly end, so that half a response would pass for a complete one.
 * A write tells them apart: it fails at once on a connection that was reset. The write
 * is an empty line, which HTTP/1.1 ignores between messages. An end that comes before the
 * request is written can't be told from a truncation, whatever the system reports.
 */

import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {BODILESS_STATUSES} from '../http/index.js';
import type {ErrorBoundary} from '../lifecycle/index.js';
import {delayEnd} from '../servers/index.js';
import type {Milliseconds} from '../time/index.js';

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

/** How far the request has been sent to which the response belongs. */
export interface RequestProgress {
  readonly method: string;
  /** Time until its upstream has received all of it; Infinity while a part isn't written. */
  readonly receivedInMs: () => Milliseconds;
}

export class ResponseCompletion {
  private readonly hasFraming: boolean;
  private isTruncated = false;

  /** @param response whose headers have just arrived */
  constructor(
    private readonly response: IncomingMessage,
    private readonly request: RequestProgress,
    private readonly boundary: ErrorBoundary,
  ) {
    this.hasFraming = request.method === 'HEAD' || isFramed(response);
    if (!this.hasFraming) {
      this.checkEnd(response.socket);
    }
  }

  /**
   * An upstream that closes its connection while a part of the request is on its way ends it
   * in order first: the reset follows once that part arrives. So the end is read only then.
   */
  private checkEnd(socket: Socket): void {
    const {boundary, request} = this;
    boundary.listenFirst(socket, 'end', () => {
      this.isTruncated = request.receivedInMs() === Infinity;
      socket.write(EMPTY_LINE);
    });
    if (request.receivedInMs() > 0) {
      delayEnd(socket, boundary, () => {
        const waitMs = request.receivedInMs();
        return waitMs === Infinity ? 0 : waitMs;
      });
    }
  }

  /** Call once the response has ended: calls one of the two, at once or later. */
  verify(onComplete: () => void, onTruncated: () => void): void {
    const {socket} = this.response;
    const report = (): void => {
      if (socket.errored || this.isTruncated) {
        onTruncated();
      } else {
        onComplete();
      }
    };
    if (this.hasFraming) {
      onComplete();
    } else if (socket.closed || this.isTruncated) {
      report();
    } else {
      this.boundary.listenOnce(socket, 'close', report);
    }
  }
}
