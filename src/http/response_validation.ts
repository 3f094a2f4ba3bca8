/** Checks whether the head of a response is one, and can be passed on to a caller. */

import type {IncomingMessage} from 'node:http';
import {validateHeaderName, validateHeaderValue} from 'node:http';
import {MAX_HEADER_COUNT, hasTooManyHeaders} from './head_limits.js';
import type {RawHeaders} from '../transport/index.js';

/** Interim responses don't arrive as responses, so that these are final ones. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;
const NO_CONTENT = 204;

/**
 * Node's parser accepts heads that Node refuses to write, such as a status below 100.
 *
 * @returns what is wrong; undefined if nothing is
 */
export function findHeadFault(response: IncomingMessage): string | undefined {
  const {statusCode = 0, headers, rawHeaders} = response;
  if (hasTooManyHeaders(response)) {
    return `the response has over ${MAX_HEADER_COUNT} headers`;
  }
  if (statusCode < MIN_STATUS || statusCode > MAX_STATUS) {
    return `the response has status ${statusCode}`;
  }
  const length = Number(headers['content-length'] ?? 0);
  if (statusCode === NO_CONTENT && length !== 0) {
    return 'a response without content states a length';
  }
  return findHeaderFault(rawHeaders);
}

function findHeaderFault(raw: RawHeaders): string | undefined {
  try {
    for (let i = 0; i < raw.length; i += 2) {
      const name = raw[i] ?? '';
      validateHeaderName(name);
      validateHeaderValue(name, raw[i + 1] ?? '');
    }
    return undefined;
  } catch (error) {
    return String(error);
  }
}
