/** Changes of customers by the operator, and load beyond quotas and capacity. */

import type {Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {Callers} from './callers.js';
import {
  MAX_APPLY_DELAY_MS,
  QUOTA_TOLERANCE,
  TIMING_SLACK_MS,
} from './constants.js';
import {CUSTOMERS, pickCustomer} from './customers.js';
import type {Drill} from './drills.js';
import {pick} from './faults.js';
import type {Testbed} from './testbed.js';

/** Leaves time to detect runs after all hosts have applied the change. */
const KEY_OBSERVATION_MS: Milliseconds =
  MAX_APPLY_DELAY_MS + TIMING_SLACK_MS + 3_000;
/** Leaves time for some whole windows under the lowered quota. */
const QUOTA_OBSERVATION_MS: Milliseconds =
  MAX_APPLY_DELAY_MS + TIMING_SLACK_MS + 1.5 * QUOTA_TOLERANCE.windowMs;
const LOWERED_QUOTA_FACTOR = 0.25;
/** Requests per second that 20 callers send of all customers together. */
const USUAL_PER_SECOND = 45;
/** One customer's load in deployment G, as a multiple of its usual one. */
const SPIKE_FACTOR = {min: 4, max: 7.5};
const SPIKE_MS = {min: 5_000, max: 8_000};
/** A burst of twice the capacity for 4 s, as the requirements name it. */
const BURST_CAPACITY_FACTOR = 2;
const BURST_MS: Milliseconds = 4_000;

export type CustomerDrillKind =
  'replace-key' | 'lower-quota' | 'spike-of-one' | 'burst';

/** Drills that send requests through these callers. */
export function customerDrills(
  callers: Callers,
): Readonly<Record<CustomerDrillKind, Drill>> {
  let lastBurst = Promise.resolve();
  return {
    'replace-key': async (testbed, random) => {
      const {name} = pick({random}, loadedCustomers());
      testbed.changeCustomer(name, one => ({
        ...one,
        keys: [`key-of-${name}-from-version-${testbed.version + 1}`],
      }));
      await sleep(KEY_OBSERVATION_MS);
    },
    'lower-quota': async (testbed, random) => {
      const {name, ratePerSecond = 0} = pickLimited(random);
      testbed.changeCustomer(name, one => ({
        ...one,
        ratePerSecond: ratePerSecond * LOWERED_QUOTA_FACTOR,
      }));
      await callers.sendLoad({
        perSecond: ratePerSecond,
        durationMs: QUOTA_OBSERVATION_MS,
        pickName: () => name,
      });
    },
    'spike-of-one': async (_testbed, random) => {
      const {name, usualShare} = pick({random}, loadedCustomers());
      const factor = between(SPIKE_FACTOR, random);
      await callers.sendLoad({
        perSecond: USUAL_PER_SECOND * usualShare * (factor - 1),
        durationMs: between(SPIKE_MS, random),
        pickName: () => name,
      });
    },
    burst: async (testbed, random) => {
      lastBurst = lastBurst.then(() => sendBurst(testbed, callers, random));
      await lastBurst;
    },
  };
}

/** Bursts that overlapped would exceed what the soak's own process can send. */
async function sendBurst(
  {history}: Testbed,
  callers: Callers,
  random: Random,
): Promise<void> {
  const from = history.clock.now();
  const capacity = history.customers.minCapacity({from, to: from});
  history.customers.bursts.push({from, to: from + BURST_MS});
  await callers.sendLoad({
    perSecond: capacity * BURST_CAPACITY_FACTOR,
    durationMs: BURST_MS,
    pickName: () => pickCustomer(random, 'burstShare'),
  });
}

function loadedCustomers(): typeof CUSTOMERS {
  return CUSTOMERS.filter(({usualShare}) => usualShare > 0);
}

function pickLimited(random: Random): (typeof CUSTOMERS)[number] {
  const limited = CUSTOMERS.filter(one => one.ratePerSecond !== undefined);
  return pick({random}, limited);
}

function between(
  {min, max}: Readonly<{min: number; max: number}>,
  random: Random,
): number {
  return min + random() * (max - min);
}
