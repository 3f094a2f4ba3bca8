/** Decodes evacuations: an evacuated data centre's upstreams get no new requests. */

import type {Result} from 'neverthrow';
import type {RecordError} from '../records/index.js';
import {decode} from '../records/index.js';

/** Followed by the data centre's name; the record exists until the evacuation ends. */
const EVACUATION_KEY_PREFIX = 'evacuate/';

/** The data centre that the key of an operator's record names; undefined for other keys. */
export function evacuatedDataCentre(key: string): string | undefined {
  const isNamed =
    key.startsWith(EVACUATION_KEY_PREFIX) &&
    key.length > EVACUATION_KEY_PREFIX.length;
  return isNamed ? key.slice(EVACUATION_KEY_PREFIX.length) : undefined;
}

/** Accepts any JSON object: only the record's existence has a meaning. */
export function decodeEvacuation(value: string): Result<void, RecordError> {
  return decode(value, () => undefined);
}
