/** What operators see and change of the crashing requests that the store keeps. */

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
 * Lets a request be sent again, as if an upstream had just answered it: the reader
 * of the store hears of it at once, and all other hosts by it. Crashes from now on
 * count anew. What is only held for the same crashes, such as its path, goes free
 * with it.
 *
 * @param kept all that the store keeps
 */
export async function liftQuarantine(
  store: Store,
  fingerprint: Fingerprint,
  kept: readonly CrashRecord[],
  unixNow: Milliseconds,
): Promise<Result<void, StoreFailure>> {
  for (const record of withSameCrashes(fingerprint, kept)) {
    const lifted = encodeStored({...record, survivedAgeMs: 0}, unixNow);
    const done = await store.put(CRASH_TOPIC, record.fingerprint, lifted);
    if (done.isErr()) {
      return err(done.error);
    }
  }
  return ok();
}

/** A request and those all of whose crashes are among its own. */
function withSameCrashes(
  fingerprint: Fingerprint,
  kept: readonly CrashRecord[],
): readonly CrashRecord[] {
  const wanted = kept.find(one => one.fingerprint === fingerprint);
  const lives = new Set(wanted?.crashes.map(({life}) => life));
  return kept.filter(({crashes}) => crashes.every(({life}) => lives.has(life)));
}
