/** Identifies the customer that sent a request by its Authorization header. */

import type {CustomerDirectory} from './customer_directory.js';
import type {Identity} from './types.js';

const BEARER = /^bearer +(\S+) *$/i;

/** @param isPublic whether the request's route needs no key */
export function identify(
  directory: CustomerDirectory,
  isPublic: boolean,
  authorization: string | undefined,
): Identity {
  if (directory.isEmpty) {
    return {kind: 'anonymous'};
  }
  const key = BEARER.exec(authorization ?? '')?.[1];
  const customer = key === undefined ? undefined : directory.findByKey(key);
  if (customer) {
    return {kind: 'customer', customer};
  }
  return isPublic ? {kind: 'anonymous'} : {kind: 'unknown-key'};
}
