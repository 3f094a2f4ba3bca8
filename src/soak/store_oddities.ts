/**
 * What a store may return although it works: pages that end early, and entries of
 * configurations that hosts don't know. It excuses no host.
 */

import {ODD_ENTRIES} from '../standins/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {Drill} from './drills.js';

/** Long enough to detect that a change is applied late. */
const ODDITY_MS: Milliseconds = 6_000;
/** Shorter than the record of any configuration. */
const MAX_PAGE_BYTES = 600;

export type StoreOddityKind = 'cut-pages' | 'odd-entries';

export const STORE_ODDITIES: Readonly<Record<StoreOddityKind, Drill>> = {
  'cut-pages': async (testbed, random) => {
    testbed.store.maxPageBytes = Math.floor(MAX_PAGE_BYTES * random());
    testbed.configure();
    await sleep(ODDITY_MS);
    testbed.store.maxPageBytes = Infinity;
  },
  'odd-entries': async (testbed, random) => {
    const [first, ...others] = shuffle(ODD_ENTRIES, random);
    testbed.extraEntries = [first, ...others.filter(() => random() < 0.5)];
    testbed.configure();
    await sleep(ODDITY_MS);
    testbed.extraEntries = [];
  },
};

function shuffle<T>(items: readonly T[], random: Random): readonly T[] {
  const ranked = items.map(item => ({item, rank: random()}));
  return ranked.sort((a, b) => a.rank - b.rank).map(({item}) => item);
}
