/** Handles each request of a server within a boundary of its own. */

import type {IncomingMessage, RequestListener} from 'node:http';
import {abortResponse} from '../http/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import type {IncomingCall} from './types.js';

/** @param request in whose handling the error occurred; undefined if in none */
export type RequestErrorReporter = (
  error: unknown,
  request?: IncomingMessage,
) => void;

/** An error in the handling of a request ends its connection, and no other request. */
export function containedListener(
  reportError: RequestErrorReporter,
  handle: (call: IncomingCall) => void,
): RequestListener {
  return (request, response) => {
    const boundary = new ErrorBoundary(error => {
      reportError(error, request);
      abortResponse(response);
    });
    // Without a listener, an error such as a write after the end would end the process.
    boundary.listen(response, 'error', () => response.destroy());
    boundary.run(() => handle({request, response, boundary}));
  };
}
