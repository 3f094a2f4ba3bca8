/**
 * The store's answers to one host's reads of a topic are lost, those to its others
 * come, while configurations change. Nothing befalls the other hosts: whatever the one
 * hears, they have to know each change in time.
 */

import {OPERATOR_TOPIC, UPSTREAM_TOPIC} from '../platform/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {Drill} from './drills.js';
import {pick} from './faults.js';
import type {World} from './world.js';

/** Long enough for a change that is in force late to show. */
const LOST_MS: Milliseconds = 8_000;
const CHANGES = 3;

export type LostReadsKind = 'lose-reads';

export const LOST_READS: Readonly<Record<LostReadsKind, Drill>> = {
  'lose-reads': async (world, random) => {
    const host = pick({random}, [...world.ways.keys()]);
    const topic = pick({random}, [OPERATOR_TOPIC, UPSTREAM_TOPIC]);
    const door = world.ways[host]?.door;
    world.noteWayTrouble(host, LOST_MS);
    door?.lostTopics.add(topic);
    await configureAtTimes(world, random);
    door?.lostTopics.delete(topic);
  },
};

async function configureAtTimes(world: World, random: Random): Promise<void> {
  const pauses = Array.from({length: CHANGES}, () => 0.5 + random());
  const sum = pauses.reduce((total, pause) => total + pause, 0);
  for (const pause of pauses) {
    world.configure();
    await sleep((LOST_MS * pause) / sum);
  }
}
