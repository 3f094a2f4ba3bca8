/**
 * Drops the store's responses to one host's calls for one topic, but not for others,
 * while the configuration changes. The other hosts must still apply each change in
 * time, whatever the affected host passes on.
 */

import {OPERATOR_TOPIC, UPSTREAM_TOPIC} from '../platform/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {Drill} from './drills.js';
import {pick} from './faults.js';
import type {Testbed} from './testbed.js';

/** Long enough to detect that a change is applied late. */
const LOST_READS_MS: Milliseconds = 8_000;
const CONFIGURATION_CHANGES = 3;

export type LostReadsKind = 'lose-reads';

export const LOST_READS: Readonly<Record<LostReadsKind, Drill>> = {
  'lose-reads': async (testbed, random) => {
    const host = pick({random}, [...testbed.storeLinks.keys()]);
    const topic = pick({random}, [OPERATOR_TOPIC, UPSTREAM_TOPIC]);
    const endpoint = testbed.storeLinks[host]?.endpoint;
    testbed.noteStoreLinkFault(host, LOST_READS_MS);
    endpoint?.lostTopics.add(topic);
    await configureAtRandomTimes(testbed, random);
    endpoint?.lostTopics.delete(topic);
  },
};

async function configureAtRandomTimes(
  testbed: Testbed,
  random: Random,
): Promise<void> {
  const pauses = Array.from(
    {length: CONFIGURATION_CHANGES},
    () => 0.5 + random(),
  );
  const sum = pauses.reduce((total, pause) => total + pause, 0);
  for (const pause of pauses) {
    testbed.configure();
    await sleep((LOST_READS_MS * pause) / sum);
  }
}
