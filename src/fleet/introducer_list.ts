/**
 * Lists introducers in the store, for hosts that know no peer to contact.
 *
 * Each data centre has a few slots that are overwritten, so that the list stays short
 * whatever the fleet's size and however often its hosts are replaced.
 */

import type {Result} from 'neverthrow';
import type {Peer} from '../decisions/fleet/index.js';
import type {LogPosition} from '../decisions/registry/index.js';
import type {KeyedRecord, Store, StoreFailure} from '../platform/index.js';
import {parseDestination} from '../platform/index.js';
import type {Random} from '../time/index.js';

/** A topic of this system; keeps the newest record of each key. */
const INTRODUCER_TOPIC = 'keyed.hosts';
/** Two introducers can fail at once, and one is left to contact. */
const SLOTS_PER_DATA_CENTRE = 3;

/** Overwrites a random slot of the data centre. */
export async function registerIntroducer(
  store: Store,
  {address, dataCentre}: Peer,
  random: Random,
): Promise<Result<LogPosition, StoreFailure>> {
  const slot = Math.floor(random() * SLOTS_PER_DATA_CENTRE);
  const value = JSON.stringify({address, dataCentre});
  return store.put(INTRODUCER_TOPIC, `${dataCentre}/${slot}`, value);
}

export async function listIntroducers(
  store: Store,
): Promise<Result<readonly Peer[], StoreFailure>> {
  const snapshot = await store.newest(INTRODUCER_TOPIC);
  return snapshot.map(({records}) => records.flatMap(decodePeer));
}

function decodePeer({value}: KeyedRecord): readonly Peer[] {
  try {
    const {address, dataCentre} = JSON.parse(value ?? '') as Partial<Peer>;
    return typeof address === 'string' &&
      typeof dataCentre === 'string' &&
      parseDestination(address)
      ? [{address, dataCentre}]
      : [];
  } catch {
    // Written by another program or another version: ignored.
    return [];
  }
}
