/** Writes upstreams' answers to callers, unchanged but for their framing. */

import type {ServerResponse} from 'node:http';
import {BODILESS_STATUSES, filterHeaders} from '../http/index.js';
import type {LongAnswer, WholeAnswer} from '../upstreams/index.js';

const REFRAMED: ReadonlySet<string> = new Set(['content-length']);
const NOTHING: ReadonlySet<string> = new Set();

/** Delivers an answer that has arrived whole, with its length. */
export function writeWhole(
  response: ServerResponse,
  {status, headers, body}: WholeAnswer,
): void {
  if (response.req.method === 'HEAD' || BODILESS_STATUSES.has(status)) {
    response.writeHead(status, filterHeaders(headers, NOTHING));
    response.end();
    return;
  }
  const kept = filterHeaders(headers, REFRAMED);
  kept.push('content-length', String(body.length));
  response.writeHead(status, kept);
  response.end(body);
}

/** How an answer ended that was streamed. */
export interface StreamEnd {
  readonly onWhole: () => void;
  /** The upstream broke off; not told where the caller left first. */
  readonly onCut: () => void;
}

/**
 * Streams an answer too large to hold. One that is cut off must not look
 * whole: the caller's connection ends with it.
 */
export function streamLong(
  response: ServerResponse,
  {status, headers, begun, rest, end}: LongAnswer,
  {onWhole, onCut}: StreamEnd,
): void {
  const cutOff = (): void => {
    if (!response.destroyed) {
      onCut();
    }
    response.destroy();
  };
  rest.on('aborted', cutOff);
  rest.on('error', cutOff);
  response.once('close', () => rest.destroy());
  response.writeHead(status, filterHeaders(headers, NOTHING));
  response.write(begun);
  rest.pipe(response, {end: false});
  const finish = (): void => {
    onWhole();
    response.end();
  };
  rest.on('end', () => end.confirm(finish, cutOff));
}
