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
export function keepsConnection({headers}: IncomingMessage): boolean {
  return headers.connection?.toLowerCase() !== 'close';
}

export class AnswerEnd {
  private readonly framed: boolean;

  /** @param answer whose head has just come */
  constructor(
    private readonly answer: IncomingMessage,
    method: string,
  ) {
    this.framed = method === 'HEAD' || isFramed(answer);
    if (!this.framed) {
      const {socket} = answer;
      socket.prependListener('end', () => socket.write(EMPTY_LINE));
    }
  }

  /** Once the answer has ended: calls one of the two, now or a little later. */
  confirm(onWhole: () => void, onCut: () => void): void {
    const {socket} = this.answer;
    const judge = (): void => {
      if (socket.errored) {
        onCut();
      } else {
        onWhole();
      }
    };
    if (this.framed) {
      onWhole();
    } else if (socket.closed) {
      judge();
    } else {
      socket.once('close', judge);
    }
  }
}
