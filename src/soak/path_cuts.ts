/**
 * Cuts hosts off from upstreams while callers, the store and other hosts reach them: from
 * all upstreams, or from some.
 */

import type {Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {Drill} from './drills.js';
import {pick, pickHosts} from './faults.js';
import type {LinkFault} from './fault_proxy.js';
import type {Testbed} from './testbed.js';

const MIN_CUT_MS: Milliseconds = 5_000;
const MAX_CUT_MS: Milliseconds = 9_000;
const WAYS: readonly LinkFault[] = [
  'partition',
  'silent',
  'reset',
  'reset-new',
];

export type PathCutKind = 'cut-all-paths' | 'cut-some-paths';

export const PATH_CUTS: Readonly<Record<PathCutKind, Drill>> = {
  'cut-all-paths': (testbed, random) => cut(testbed, random, 1),
  'cut-some-paths': (testbed, random) => cut(testbed, random, 0.5),
};

/** @param share probability that a path of the hosts that are cut off fails */
async function cut(
  testbed: Testbed,
  random: Random,
  share: number,
): Promise<void> {
  const hosts = pickHosts(testbed, random);
  const way = pick({random}, WAYS);
  const durationMs = MIN_CUT_MS + (MAX_CUT_MS - MIN_CUT_MS) * random();
  const end = testbed.cutPaths(hosts, way, () => random() < share);
  const from = testbed.history.clock.now();
  if (share === 1) {
    testbed.history.pathCuts.push({hosts, from, to: from + durationMs});
  }
  await sleep(durationMs);
  end();
}
