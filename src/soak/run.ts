/** One seeded run: a fleet, a load, a series of faults, and the checks. */

import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import type {Milliseconds, Random} from '../time/index.js';
import {seededRandom, sleep, systemClock} from '../time/index.js';
import {ANNOUNCEMENTS} from './announcements.js';
import {Callers} from './callers.js';
import {CHECKS} from './checks.js';
import {SLACK_MS} from './constants.js';
import type {Drill} from './drills.js';
import {DRILLS} from './drills.js';
import {FAULTS, FAULT_KINDS, stop} from './faults.js';
import {HarmfulCaller} from './harmful_caller.js';
import {History} from './history.js';
import {GRACE_MS} from './host_process.js';
import {LOST_READS} from './lost_reads.js';
import {MarkerWatch} from './marker_watch.js';
import type {Finding, RunReport} from './types.js';
import type {WorldSize} from './world.js';
import {World} from './world.js';

export interface RunPlan extends WorldSize {
  readonly seed: number;
  /** How long faults begin, after the fleet serves. */
  readonly lengthMs: Milliseconds;
  readonly faults: number;
  readonly callers: number;
  /** Evacuations, losses of the store's records, upstreams that turn cold. */
  readonly drills: number;
  /** Times at which one host's reads of a topic get no answer. */
  readonly lostReads: number;
  /** Number of rate limits, refusals with Retry-After and departures to announce. */
  readonly announcements: number;
  /** Whether one caller's request ends each upstream that runs it. */
  readonly harmful: boolean;
  readonly logFolder: string;
}

/** All hosts serve again within this time after the last fault. */
const RECOVERY_MS: Milliseconds = 15_000;
const SHORTEST_MS: Milliseconds = 300;
const LONGEST_MS: Milliseconds = 4_000;
const POLL_MS: Milliseconds = 100;
/** Draws of its own, so that a seed's faults are the same without it. */
const HARMFUL_SEED = 100_000;
const DRILL_SEED = 200_000;
const LOST_READS_SEED = 300_000;
const ANNOUNCEMENTS_SEED = 400_000;
/** Time for a refused request to run after all. */
const SETTLE_MS: Milliseconds = 500;

export async function runOnce(plan: RunPlan): Promise<RunReport> {
  const logFolder = join(plan.logFolder, `seed-${plan.seed}`);
  mkdirSync(logFolder, {recursive: true});
  const history = new History(systemClock);
  const world = new World(history, plan.seed, logFolder);
  // Callers draw at moments that differ: the faults must not depend on them.
  const callers = new Callers(world.hosts, history, seededRandom(-plan.seed));
  const watch = new MarkerWatch(world, callers);
  const harmful = new HarmfulCaller(
    world.hosts,
    callers,
    seededRandom(plan.seed + HARMFUL_SEED),
  );
  const counts = new Map<string, number>();
  const findings: Finding[] = [];
  try {
    await world.build(plan);
    await awaitService(world, callers);
    callers.start(plan.callers);
    watch.start();
    if (plan.harmful) {
      harmful.start();
    }
    const played = await Promise.all([
      playFaults(world, plan, counts),
      playDrills(world, plan, counts, {
        drills: DRILLS,
        count: plan.drills,
        seed: plan.seed + DRILL_SEED,
      }),
      playDrills(world, plan, counts, {
        drills: LOST_READS,
        count: plan.lostReads,
        seed: plan.seed + LOST_READS_SEED,
      }),
      playDrills(world, plan, counts, {
        drills: ANNOUNCEMENTS,
        count: plan.announcements,
        seed: plan.seed + ANNOUNCEMENTS_SEED,
      }),
    ]);
    findings.push(...played.flat());
    await harmful.stop();
    world.heal();
    findings.push(...(await awaitService(world, callers)));
    await watch.stop();
    findings.push(...(await stopAll(world)));
    await callers.stop();
    await sleep(SETTLE_MS);
  } finally {
    await harmful.stop();
    await callers.stop();
    await watch.stop();
    await world.close();
    const deeds = history.deeds.join('\n');
    writeFileSync(join(logFolder, 'deeds.log'), `${deeds}\n`);
  }
  findings.push(...watch.findings);
  CHECKS.forEach(check => findings.push(...check(history)));
  return {
    seed: plan.seed,
    requests: history.sent.size,
    served: countServed(history),
    faults: Object.fromEntries(counts),
    findings,
    logFolder,
  };
}

/** Begins faults at random moments, so that they overlap. */
async function playFaults(
  world: World,
  {faults, lengthMs}: RunPlan,
  counts: Map<string, number>,
): Promise<readonly Finding[]> {
  const {random} = world;
  const begins = momentsOf(faults, lengthMs, random);
  const findings: Finding[] = [];
  const pending: Promise<void>[] = [];
  let now: Milliseconds = 0;
  for (const at of begins) {
    await sleep(at - now);
    now = at;
    const kind = FAULT_KINDS[Math.floor(random() * FAULT_KINDS.length)];
    if (kind) {
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
      world.history.noteDeed(kind);
      const lastsMs = SHORTEST_MS + random() * (LONGEST_MS - SHORTEST_MS);
      pending.push(
        FAULTS[kind](world, lastsMs).catch((error: unknown) => {
          findings.push({promise: 'starts again', detail: String(error)});
        }),
      );
    }
  }
  await Promise.all(pending);
  return findings;
}

interface DrillPlan {
  readonly drills: Readonly<Record<string, Drill>>;
  readonly count: number;
  readonly seed: number;
}

/** Begins drills at moments of their own, beside the faults. */
async function playDrills(
  world: World,
  {lengthMs}: RunPlan,
  counts: Map<string, number>,
  {drills, count, seed}: DrillPlan,
): Promise<readonly Finding[]> {
  const draws = seededRandom(seed);
  const findings: Finding[] = [];
  const kinds = Object.keys(drills);
  const moments = momentsOf(count, lengthMs, draws);
  const pending = moments.map(async (at, index) => {
    // One of its own: drills overlap, and would draw in an order that differs.
    const random = seededRandom(seed + index + 1);
    await sleep(at);
    const kind = kinds[Math.floor(random() * kinds.length)];
    const drill = kind === undefined ? undefined : drills[kind];
    if (kind !== undefined && drill) {
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
      world.history.noteDeed(kind);
      await drill(world, random).catch((error: unknown) => {
        findings.push({promise: 'drill', detail: String(error)});
      });
    }
  });
  await Promise.all(pending);
  return findings;
}

/** Moments within a time, in their order. */
function momentsOf(
  count: number,
  lengthMs: Milliseconds,
  random: Random,
): readonly Milliseconds[] {
  const moments = Array.from({length: count}, () => random() * lengthMs);
  return moments.sort((a, b) => a - b);
}

/** Waits until each host serves; one that doesn't in time is a finding. */
async function awaitService(
  world: World,
  callers: Callers,
): Promise<readonly Finding[]> {
  const {clock} = world.history;
  const until = clock.now() + RECOVERY_MS;
  const late = await Promise.all(
    [...world.hosts.keys()].map(async host => {
      while (clock.now() < until) {
        const end = await callers.ask(host, '/lookup/ready');
        if (end.kind === 'answered' && end.status === 200) {
          return undefined;
        }
        await sleep(POLL_MS);
      }
      return {promise: 'recovery', detail: `host ${host} serves nothing`};
    }),
  );
  return late.filter(one => one !== undefined);
}

/** Stops all hosts while callers go on; none may outlast its grace. */
async function stopAll(world: World): Promise<readonly Finding[]> {
  const all = [...world.hosts.keys()];
  const late = await Promise.all(
    all.map(async host => {
      const gone = stop(world, host).then(() => true);
      const inTime = await Promise.race([
        gone,
        sleep(GRACE_MS + SLACK_MS).then(() => false),
      ]);
      return inTime
        ? undefined
        : {promise: 'grace', detail: `host ${host} outlasts its grace`};
    }),
  );
  return late.filter(one => one !== undefined);
}

function countServed({ends}: History): number {
  let served = 0;
  ends.forEach(end => {
    served += end.kind === 'answered' && end.status === 200 ? 1 : 0;
  });
  return served;
}
