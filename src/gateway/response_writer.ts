/** Writes upstreams' responses to callers, unchanged except for framing. */

import type {ServerResponse} from 'node:http';
import type {IncomingCall} from '../servers/index.js';
import {
  BODILESS_STATUSES,
  abortResponse,
  filterHeaders,
} from '../http/index.js';
import type {StreamedResponse, BufferedResponse} from '../upstreams/index.js';

const REPLACED_HEADERS: ReadonlySet<string> = new Set(['content-length']);
const NO_HEADERS: ReadonlySet<string> = new Set();

/** Writes a buffered response, with its Content-Length. */
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

/** Callbacks for the end of a streamed response. */
export interface StreamObserver {
  readonly onComplete: () => void;
  /** The upstream truncated it; not called if the caller disconnected first. */
  readonly onTruncated: () => void;
}

/**
 * Streams a response too large to buffer. A truncated one must not look complete, so
 * the caller's connection is destroyed.
 */
export function streamResponse(
  {response, boundary}: IncomingCall,
  streamed: StreamedResponse,
  {onComplete, onTruncated}: StreamObserver,
): void {
  const {status, headers, prefix, remainder, completion} = streamed;
  const handleTruncation = (): void => {
    if (!response.destroyed) {
      onTruncated();
    }
    abortResponse(response);
  };
  boundary.listen(remainder, 'aborted', handleTruncation);
  boundary.listen(remainder, 'error', handleTruncation);
  boundary.listenOnce(response, 'close', () => remainder.destroy());
  response.writeHead(status, filterHeaders(headers, NO_HEADERS));
  response.write(
    prefix,
    boundary.wrap(() => streamed.releasePrefix()),
  );
  remainder.pipe(response, {end: false});
  const finish = (): void => {
    onComplete();
    response.end();
  };
  boundary.listen(remainder, 'end', () =>
    completion.verify(finish, handleTruncation),
  );
}
