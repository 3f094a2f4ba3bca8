/** Closes connections on which no valid request arrived. */

import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import type {ProblemReason} from '../http/index.js';

/** Statuses by Node's parser error code; all others are 400. */
const STATUS_BY_ERROR_CODE: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
};
const REASON_BY_ERROR_CODE: Readonly<Record<string, ProblemReason>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 'request-timeout',
  HPE_HEADER_OVERFLOW: 'headers-too-large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 'body-too-large',
};

/** The error of a `clientError` event of Node's HTTP server. */
export interface ParserError extends Error {
  readonly code?: string;
}

/** A socket with the response that is being written to it, if any. */
interface ServerSocket extends Duplex {
  readonly _httpMessage?: {readonly headersSent: boolean} | null;
}

/** How the connection was closed, for the log. */
export interface ConnectionFault {
  readonly reason: ProblemReason;
  /** Whether an error response was sent. */
  readonly answered: boolean;
}

/**
 * Sends an error response and closes the connection. A connection that never sent
 * a byte gets no response: a caller that preconnects would take it for the response
 * to its next request. Nor is an error sent after a response that has begun.
 */
export function closeFaultyConnection(
  error: ParserError,
  socket: ServerSocket,
): ConnectionFault {
  const code = error.code ?? '';
  const reason = REASON_BY_ERROR_CODE[code] ?? 'bad-request';
  const isUnused = (socket as unknown as Socket).bytesRead === 0;
  const hasBegunResponse = socket._httpMessage?.headersSent === true;
  if (isUnused || hasBegunResponse || !socket.writable) {
    socket.destroy();
    return {reason, answered: false};
  }
  const status = STATUS_BY_ERROR_CODE[code] ?? '400 Bad Request';
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
  return {reason, answered: true};
}
