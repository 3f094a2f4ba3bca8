/** Stops of hosts behind narrow links, alone and with what may happen meanwhile. */

import type {StoreFault} from '../standins/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import {FAULT_RECOVERY_MS} from './constants.js';
import type {Drill} from './drills.js';
import type {LinkFault} from './fault_proxy.js';
import {pick, pickHosts, restart} from './faults.js';
import type {Testbed} from './testbed.js';

/** Stops of a wave begin within this time, so that they overlap. */
const WAVE_MS: Milliseconds = 1_500;
/** Leaves time to notice what a host's end has cut before its start excuses that. */
const RESTART_DELAY_MS: Milliseconds = 300;
/** No host ends sooner after SIGTERM. */
const MIN_STOP_MS: Milliseconds = 2_500;
const STORE_DOWN_MS: Milliseconds = 3_000;
const SILENCE_MS: Milliseconds = 2_000;

const SECOND_SIGNALS: readonly NodeJS.Signals[] = [
  'SIGTERM',
  'SIGINT',
  'SIGHUP',
];
const STORE_FAULTS: readonly StoreFault[] = ['refuse', 'reset', 'silent'];
const SILENT_WAYS: readonly LinkFault[] = ['one-way', 'silent'];

export type PlannedStopKind =
  'stop-wave' | 'stop-twice' | 'stop-without-store' | 'stop-in-silence';

export const PLANNED_STOPS: Readonly<Record<PlannedStopKind, Drill>> = {
  'stop-wave': stopWave,
  'stop-twice': async (testbed, random) => {
    const host = pick({random}, [...testbed.hosts.keys()]);
    const process = testbed.hosts[host];
    const starts = process?.startCount;
    const restarted = restart(testbed, host, RESTART_DELAY_MS);
    await sleep(MIN_STOP_MS * random());
    const signal = pick({random}, SECOND_SIGNALS);
    if (process?.isRunning && process.startCount === starts) {
      process.signal(signal);
    }
    await restarted;
  },
  'stop-without-store': async (testbed, random) => {
    const {store, history} = testbed;
    const from = history.clock.now();
    const to = from + STORE_DOWN_MS + FAULT_RECOVERY_MS;
    history.storeFaults.push({from, to});
    store.fault = pick({random}, STORE_FAULTS);
    const stopped = stopWave(testbed, random);
    await sleep(STORE_DOWN_MS);
    store.fault = 'none';
    await stopped;
  },
  // Connections that have lost bytes stay silent: their callers give up.
  'stop-in-silence': async (testbed, random) => {
    const host = pick({random}, [...testbed.hosts.keys()]);
    const proxy = testbed.callerLinks[host]?.proxy;
    const from = testbed.history.clock.now();
    const to = from + SILENCE_MS + FAULT_RECOVERY_MS;
    testbed.history.noteHostFault(host, {from, to});
    const restarted = restart(testbed, host, RESTART_DELAY_MS);
    if (proxy) {
      proxy.fault = pick({random}, SILENT_WAYS);
      await sleep(SILENCE_MS);
      proxy.fault = 'none';
    }
    await restarted;
  },
};

async function stopWave(testbed: Testbed, random: Random): Promise<void> {
  const stops = pickHosts(testbed, random).map(async host => {
    await sleep(WAVE_MS * random());
    await restart(testbed, host, RESTART_DELAY_MS);
  });
  await Promise.all(stops);
}
