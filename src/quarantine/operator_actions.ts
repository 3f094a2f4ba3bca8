/** Lists the crashing requests in the store for operators, and lifts their quarantine. */

import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {CrashRecord, Fingerprint} from '../decisions/quarantine/index.js';
import type {Store, StoreFailure} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import {CRASH_TOPIC, decodeStored, encodeStored} from './stored_record.js';

export async function listStored(
  store: Store,
  unixNow: Milliseconds,
): Promise<Result<readonly CrashRecord[], StoreFailure>> {
  const snapshot = await store.newest(CRASH_TOPIC);
  return snapshot.map(({records}) =>
    records.flatMap(({value}) => decodeStored(value, unixNow)),
  );
}

/**
 * Lifts the quarantine of a request, as if an upstream had just responded to it: the
 * reader of the store learns of it at once, and all other hosts from the reader. Only
 * crashes from now on count. Requests quarantined for the same crashes only, such as
 * its path, are released with it.
 *
 * @param stored all records in the store
 */
export async function liftQuarantine(
  store: Store,
  fingerprint: Fingerprint,
  stored: readonly CrashRecord[],
  unixNow: Milliseconds,
): Promise<Result<void, StoreFailure>> {
  for (const record of withSameCrashes(fingerprint, stored)) {
    const released = encodeStored({...record, survivedAgeMs: 0}, unixNow);
    const done = await store.put(CRASH_TOPIC, record.fingerprint, released);
    if (done.isErr()) {
      return err(done.error);
    }
  }
  return ok();
}

/** The request, and those whose crashes are all among its own. */
function withSameCrashes(
  fingerprint: Fingerprint,
  stored: readonly CrashRecord[],
): readonly CrashRecord[] {
  const request = stored.find(one => one.fingerprint === fingerprint);
  const instances = new Set(request?.crashes.map(({life}) => life));
  return stored.filter(({crashes}) =>
    crashes.every(({life}) => instances.has(life)),
  );
}
