/**
 * What a store may return although it works: pages that end early, and entries of
 * configurations that hosts don't know. It excuses no host.
 */

import {ODD_ENTRIES} from '../standins/index.js';
import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {Drill} from './drills.js';

const ODDITY_MS: Milliseconds = 6_000;
const STEP_MS: Milliseconds = 400;
/** Some records of configurations fit and some don't. */
const MAX_PAGE_BYTES = 3_000;
const CHANGE_PROBABILITY = 0.4;

export type StoreOddityKind = 'cut-pages' | 'odd-entries';

export const STORE_ODDITIES: Readonly<Record<StoreOddityKind, Drill>> = {
  'cut-pages': async (testbed, random) => {
    for (let passedMs = 0; passedMs < ODDITY_MS; passedMs += STEP_MS) {
      testbed.store.maxPageBytes = Math.floor(MAX_PAGE_BYTES * random());
      if (random() < CHANGE_PROBABILITY) {
        testbed.configure();
      }
      await sleep(STEP_MS);
    }
    testbed.store.maxPageBytes = Infinity;
  },
  'odd-entries': async (testbed, random) => {
    for (let passedMs = 0; passedMs < ODDITY_MS; passedMs += ODDITY_MS / 3) {
      testbed.extraEntries = ODD_ENTRIES.filter(() => random() < 0.5);
      testbed.configure();
      await sleep(ODDITY_MS / 3);
    }
    testbed.extraEntries = [];
  },
};
