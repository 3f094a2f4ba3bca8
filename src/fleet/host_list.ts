/** Hosts register in the store and find each other there. */

import type {Result} from 'neverthrow';
import type {Peer} from '../decisions/relay/index.js';
import type {KeyedRecord, Store, StoreFailure} from '../platform/index.js';

/** A topic of the system's own; keeps the newest record of each host. */
const HOST_TOPIC = 'keyed.hosts';

/** Registers this host; a host that starts again moves to the end. */
export async function registerHost(
  store: Store,
  address: string,
  dataCentre: string,
): Promise<Result<number, StoreFailure>> {
  return store.put(HOST_TOPIC, address, JSON.stringify({dataCentre}));
}

/** All hosts that ever registered, also those that are gone. */
export async function listHosts(
  store: Store,
): Promise<Result<readonly Peer[], StoreFailure>> {
  const snapshot = await store.newest(HOST_TOPIC);
  return snapshot.map(({records}) => records.flatMap(peerOf));
}

function peerOf({key, offset, value}: KeyedRecord): readonly Peer[] {
  try {
    const {dataCentre} = JSON.parse(value ?? '') as {dataCentre?: unknown};
    return typeof dataCentre === 'string'
      ? [{address: key, dataCentre, rank: offset}]
      : [];
  } catch {
    // Written by another version: such a host is followed by its own kind.
    return [];
  }
}
