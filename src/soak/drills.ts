/**
 * Operations of operators and the platform that affect a fleet, each kind with its
 * handler. They have random sequences of their own, so that a seed's faults are the
 * same with or without drills.
 */

import type {StoreCopy} from '../standins/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import {COLD_MAX_PER_SECOND, FAULT_RECOVERY_MS} from './constants.js';
import {pick} from './faults.js';
import type {Testbed} from './testbed.js';
import {DATA_CENTRES} from './testbed.js';

/** Long enough to detect requests after the deadline of the evacuation. */
const EVACUATION_MS: Milliseconds = 8_000;
const MAX_COPY_AGE_MS: Milliseconds = 7_000;
const STORE_DOWN_MS: Milliseconds = 300;
/** The operator and upstreams rewrite their lost records within this time. */
const MAX_REWRITE_DELAY_MS: Milliseconds = 1_500;
const COLD_MS: Milliseconds = 4_000;

export type DrillKind = 'evacuate' | 'lose-records' | 'turn-cold';

/** Performs one drill; resolves when it is over. */
export type Drill = (testbed: Testbed, random: Random) => Promise<void>;

export const DRILLS: Readonly<Record<DrillKind, Drill>> = {
  evacuate: async (testbed, random) => {
    const dataCentre = pick({random}, DATA_CENTRES);
    testbed.evacuate(dataCentre);
    await sleep(EVACUATION_MS);
    testbed.endEvacuation(dataCentre);
  },
  'lose-records': async (testbed, random) => {
    const copy = testbed.store.copy();
    await sleep(MAX_COPY_AGE_MS * random());
    const at = testbed.history.clock.now();
    const to = at + STORE_DOWN_MS + MAX_REWRITE_DELAY_MS + FAULT_RECOVERY_MS;
    testbed.history.storeFaults.push({from: at, to});
    testbed.store.fault = 'refuse';
    await sleep(STORE_DOWN_MS);
    const lost = testbed.store.restoreFrom(copy);
    testbed.store.fault = 'none';
    await rewriteLostRecords(testbed, random, lost);
  },
  'turn-cold': async (testbed, random) => {
    const {server} = pick({random}, testbed.upstreams);
    server.startColdPhase(COLD_MS, COLD_MAX_PER_SECOND);
    await sleep(COLD_MS);
  },
};

/** Rewrites each lost record's current value after a random delay, as its writer does. */
async function rewriteLostRecords(
  testbed: Testbed,
  random: Random,
  lost: StoreCopy,
): Promise<void> {
  const keys = [...lost].flatMap(([topic, records]) =>
    records.map(({key}) => ({topic, key})),
  );
  await Promise.all(
    keys.map(async ({topic, key}) => {
      await sleep(MAX_REWRITE_DELAY_MS * random());
      testbed.rewrite(topic, key);
    }),
  );
}
