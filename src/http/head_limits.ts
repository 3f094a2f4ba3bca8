/**
 * Limits the number of headers of a message.
 *
 * Node's parser drops headers beyond its limit without an error, also those that frame the
 * message, by which it goes on parsing. So it reads one more than is accepted: a head that
 * isn't known whole shows.
 */

import type {IncomingMessage} from 'node:http';

/** Messages with more headers are refused. */
export const MAX_HEADER_COUNT = 10_000;

/** For `maxHeadersCount` of Node's servers and requests. */
export const PARSED_HEADER_COUNT = MAX_HEADER_COUNT + 1;

/** Whether headers may be missing from the message. */
export function hasTooManyHeaders({rawHeaders}: IncomingMessage): boolean {
  return rawHeaders.length / 2 > MAX_HEADER_COUNT;
}
