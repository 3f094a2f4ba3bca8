/** The fleet's size in the store, for hosts that restart while the fleet is split. */

import type {Result} from 'neverthrow';
import type {LogPosition} from '../decisions/registry/index.js';
import type {Store, StoreFailure} from '../platform/index.js';

/** A topic of this system; keeps the newest record. */
const FLEET_TOPIC = 'keyed.fleet';
const SIZE_KEY = 'size';
/** What hosts share out among all is too little for any of them with more. */
const MAX_HOSTS = 10_000;

export async function writeFleetSize(
  store: Store,
  hosts: number,
): Promise<Result<LogPosition, StoreFailure>> {
  return store.put(FLEET_TOPIC, SIZE_KEY, JSON.stringify({hosts}));
}

/** @returns 0 if there is no valid record */
export async function readFleetSize(
  store: Store,
): Promise<Result<number, StoreFailure>> {
  const snapshot = await store.newest(FLEET_TOPIC);
  return snapshot.map(({records}) =>
    decodeHosts(records.find(({key}) => key === SIZE_KEY)?.value),
  );
}

function decodeHosts(value = ''): number {
  try {
    const {hosts} = JSON.parse(value) as {hosts?: unknown};
    const isSize = Number.isInteger(hosts) && Number(hosts) <= MAX_HOSTS;
    return isSize ? Math.max(0, Number(hosts)) : 0;
  } catch {
    // Written by another program or another version: ignored.
    return 0;
  }
}
