/** Answers connections on which no proper request arrived. */

import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';
import type {ProblemReason} from '../http/index.js';

/** Statuses by the code of Node's parser error; all others are 400. */
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

/** A parser's error, as Node's server hands it over. */
export interface ParserError extends Error {
  readonly code?: string;
}

/** A socket and the answer that is being written to it, if any. */
interface ServerSocket extends Duplex {
  readonly _httpMessage?: {readonly headersSent: boolean} | null;
}

/** How such a connection ended, for the log. */
export interface ConnectionFault {
  readonly reason: ProblemReason;
  /** Whether anything was answered. */
  readonly answered: boolean;
}

/**
 * Answers and closes. A connection that never sent a byte is closed without a
 * word: a caller that opens connections ahead would take the answer for that
 * to its next request. Nor is an answer that has begun followed by another.
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
