/** Reads and drops the rest of a request body whose response has been sent early. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ErrorBoundary} from '../lifecycle/index.js';
import type {BodyInput} from './types.js';
import type {Milliseconds} from '../time/index.js';

/** More than this, or longer, isn't read: the caller goes on with a new connection. */
const MAX_DISCARDED_BYTES = 16 * 1024 * 1024;
const MAX_DISCARDING_MS: Milliseconds = 5_000;

/**
 * Left unread, the rest would keep the next request on the connection from being read. A
 * connection that is closed at once would be reset by it, which can destroy the response. Nor
 * is it closed before the response, and those before it on the connection, have been sent.
 */
export function discardBody(
  request: IncomingMessage,
  response: ServerResponse,
  boundary: ErrorBoundary,
  input: BodyInput,
): void {
  if (request.complete || request.destroyed) {
    return;
  }
  let bytes = 0;
  const close = (): void => {
    request.pause();
    if (response.closed) {
      request.socket.destroySoon();
    } else {
      boundary.listenOnce(response, 'close', () =>
        request.socket.destroySoon(),
      );
    }
  };
  const timer = setTimeout(boundary.wrap(close), MAX_DISCARDING_MS);
  timer.unref();
  boundary.listenOnce(request, 'close', () => clearTimeout(timer));
  boundary.listen(request, 'data', (chunk: Buffer) => {
    input.noteBody();
    bytes += chunk.length;
    if (bytes > MAX_DISCARDED_BYTES) {
      close();
    }
  });
  request.unpipe();
  request.resume();
}
