/**
 * What operators and the platform put a fleet through on purpose, each kind with its
 * handler. Drawn apart from faults, so that a seed's faults are the same without.
 */

import type {StoreCopy} from '../standins/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import {COLD_MOST, REST_MS} from './constants.js';
import {pick} from './faults.js';
import type {World} from './world.js';
import {DATA_CENTRES} from './world.js';

/** Long enough for runs after its bound to show. */
const EVACUATED_MS: Milliseconds = 8_000;
const OLDEST_COPY_MS: Milliseconds = 7_000;
const STORE_AWAY_MS: Milliseconds = 300;
/** Lost records of the operator and of upstreams are written again within this time. */
const REWRITTEN_MS: Milliseconds = 1_500;
const COLD_MS: Milliseconds = 4_000;

export type DrillKind = 'evacuate' | 'lose-records' | 'turn-cold';

/** Carries one drill out; resolves when it is over. */
export type Drill = (world: World, random: Random) => Promise<void>;

export const DRILLS: Readonly<Record<DrillKind, Drill>> = {
  evacuate: async (world, random) => {
    const dataCentre = pick({random}, DATA_CENTRES);
    world.evacuate(dataCentre);
    await sleep(EVACUATED_MS);
    world.takeBack(dataCentre);
  },
  'lose-records': async (world, random) => {
    const copy = world.store.copy();
    await sleep(OLDEST_COPY_MS * random());
    const at = world.history.clock.now();
    const to = at + STORE_AWAY_MS + REWRITTEN_MS + REST_MS;
    world.history.storeTroubles.push({from: at, to});
    world.store.fault = 'refuse';
    await sleep(STORE_AWAY_MS);
    const lost = world.store.comeBackFrom(copy);
    world.store.fault = 'none';
    await writeAgain(world, random, lost);
  },
  'turn-cold': async (world, random) => {
    const {server} = pick({random}, world.upstreams);
    server.turnCold(COLD_MS, COLD_MOST);
    await sleep(COLD_MS);
  },
};

/** Each writer writes what holds of its own, a while after the store is back. */
async function writeAgain(
  world: World,
  random: Random,
  lost: StoreCopy,
): Promise<void> {
  const keys = [...lost].flatMap(([topic, records]) =>
    records.map(({key}) => ({topic, key})),
  );
  await Promise.all(
    keys.map(async ({topic, key}) => {
      await sleep(REWRITTEN_MS * random());
      world.writeAgain(topic, key);
    }),
  );
}
