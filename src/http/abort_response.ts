import type {ServerResponse} from 'node:http';
import {resetSocket} from '../lifecycle/index.js';

/**
 * Ends a response so that it doesn't look complete. For callers of HTTP/1.0, which know no
 * chunks, a response ends where its connection ends in order: it is reset.
 */
export function abortResponse(response: ServerResponse): void {
  const {socket, req, headersSent} = response;
  if (socket && headersSent && req.httpVersionMinor === 0) {
    resetSocket(socket);
  }
  response.destroy();
}
