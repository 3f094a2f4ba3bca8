/** Stops of hosts behind narrow links, alone and with what an operator may do meanwhile. */

import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {Drill} from './drills.js';
import {pickHosts, restart} from './faults.js';
import type {Testbed} from './testbed.js';

/** Stops of a wave begin within this time, so that they overlap. */
const WAVE_MS: Milliseconds = 1_500;
/** Leaves time to notice what a host's end has cut before its start excuses that. */
const RESTART_DELAY_MS: Milliseconds = 300;

export type PlannedStopKind = 'stop-wave';

export const PLANNED_STOPS: Readonly<Record<PlannedStopKind, Drill>> = {
  'stop-wave': async (testbed, random) => {
    const stops = pickHosts(testbed, random).map(host =>
      stopWithin(testbed, host, WAVE_MS * random()),
    );
    await Promise.all(stops);
  },
};

async function stopWithin(
  testbed: Testbed,
  host: number,
  delayMs: Milliseconds,
): Promise<void> {
  await sleep(delayMs);
  await restart(testbed, host, RESTART_DELAY_MS);
}
