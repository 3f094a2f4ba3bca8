/** Writes upstreams' answers to callers, unchanged but for their framing. */

import type {ServerResponse} from 'node:http';
import {BODILESS_STATUSES, filterHeaders} from '../http/index.js';
import type {StreamedResponse, BufferedResponse} from '../upstreams/index.js';

const REPLACED_HEADERS: ReadonlySet<string> = new Set(['content-length']);
const NO_HEADERS: ReadonlySet<string> = new Set();

/** Delivers an answer that has arrived whole, with its length. */
export function writeResponse(
  response: ServerResponse,
  {status, headers, body}: BufferedResponse,
): void {
  if (response.req.method === 'HEAD' || BODILESS_STATUSES.has(status)) {
    response.writeHead(status, filterHeaders(headers, NO_HEADERS));
    response.end();
    return;
  }
  const kept = filterHeaders(headers, REPLACED_HEADERS);
  kept.push('content-length', String(body.length));
  response.writeHead(status, kept);
  response.end(body);
}

/** How an answer ended that was streamed. */
export interface StreamObserver {
  readonly onComplete: () => void;
  /** The upstream broke off; not told where the caller left first. */
  readonly onTruncated: () => void;
}

/**
 * Streams an answer too large to hold. One that is cut off must not look
 * whole: the caller's connection ends with it.
 */
export function streamResponse(
  response: ServerResponse,
  {
    status,
    headers,
    prefix: begun,
    remainder: rest,
    completion: end,
  }: StreamedResponse,
  {onComplete: onWhole, onTruncated: onCut}: StreamObserver,
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
  response.writeHead(status, filterHeaders(headers, NO_HEADERS));
  response.write(begun);
  rest.pipe(response, {end: false});
  const finish = (): void => {
    onWhole();
    response.end();
  };
  rest.on('end', () => end.verify(finish, cutOff));
}
