/** Decodes the operator's wish that a data centre's upstreams get nothing new. */

import type {Result} from 'neverthrow';
import type {RecordError} from './errors.js';
import {decode} from './fields.js';

/** Its record stands under this and the data centre's name, until it is taken back. */
const EVACUATION_KEY_PREFIX = 'evacuate/';

/** The data centre that a key of the operator's evacuates; undefined for others. */
export function evacuatedDataCentre(key: string): string | undefined {
  const isNamed =
    key.startsWith(EVACUATION_KEY_PREFIX) &&
    key.length > EVACUATION_KEY_PREFIX.length;
  return isNamed ? key.slice(EVACUATION_KEY_PREFIX.length) : undefined;
}

/** The record says all by being there; what it holds has no meaning yet. */
export function decodeEvacuation(value: string): Result<void, RecordError> {
  return decode(value, () => undefined);
}
