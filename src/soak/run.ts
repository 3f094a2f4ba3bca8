/** One seeded run: fleet, load, fault injection and checks of the history. */

import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import type {Milliseconds, Random} from '../time/index.js';
import {seededRandom, sleep, systemClock} from '../time/index.js';
import {ANNOUNCEMENTS} from './announcements.js';
import {Callers} from './callers.js';
import {CHECKS} from './checks.js';
import {FAULT_RECOVERY_MS, TIMING_SLACK_MS} from './constants.js';
import {customerDrills} from './customer_drills.js';
import type {Drill} from './drills.js';
import {DRILLS} from './drills.js';
import {FAULTS, FAULT_KINDS, stopHost} from './faults.js';
import {HarmfulCaller} from './harmful_caller.js';
import {History} from './history.js';
import {GRACE_MS} from './host_process.js';
import {LOST_READS} from './lost_reads.js';
import {monitorStalls} from './stall_monitor.js';
import {ConfigurationWatch} from './configuration_watch.js';
import {PATH_CUTS} from './path_cuts.js';
import {PLANNED_STOPS} from './planned_stops.js';
import {STORE_ODDITIES} from './store_oddities.js';
import type {Finding, RunReport} from './types.js';
import type {TestbedSize} from './testbed.js';
import {Testbed} from './testbed.js';

export interface RunPlan extends TestbedSize {
  readonly seed: number;
  /** Time, once the fleet serves, within which faults and drills begin. */
  readonly faultPhaseMs: Milliseconds;
  readonly faults: number;
  readonly callers: number;
  /** Number of evacuations, store restores and cold phases of upstreams. */
  readonly drills: number;
  /** Number of periods in which one host's reads of a topic get no response. */
  readonly lostReads: number;
  /** Number of rate limits, refusals with Retry-After and departures to announce. */
  readonly announcements: number;
  /** Number of periods with pages cut off or unknown entries in configurations. */
  readonly storeOddities: number;
  /** Number of periods in which hosts are cut off from all or some upstreams. */
  readonly pathCuts: number;
  /** Whether one caller sends a request that crashes each upstream that executes it. */
  readonly harmful: boolean;
  readonly logFolder: string;
}

/** Parts of a plan that adds nothing to the seed's faults. */
export const FAULTS_ONLY = {
  harmful: false,
  drills: 0,
  lostReads: 0,
  announcements: 0,
  customers: 0,
  storeOddities: 0,
  pathCuts: 0,
  links: 0,
} satisfies Partial<RunPlan>;

/** After the last fault, all hosts must serve within this time. */
const RECOVERY_TIMEOUT_MS: Milliseconds = 15_000;
const MIN_FAULT_MS: Milliseconds = 300;
const MAX_FAULT_MS: Milliseconds = 4_000;
const POLL_INTERVAL_MS: Milliseconds = 100;
/** Separate random sequences: a seed's faults are the same without these features. */
const HARMFUL_SEED_OFFSET = 100_000;
const DRILL_SEED_OFFSET = 200_000;
const LOST_READS_SEED_OFFSET = 300_000;
const ANNOUNCEMENTS_SEED_OFFSET = 400_000;
const CUSTOMERS_SEED_OFFSET = 500_000;
const STORE_ODDITIES_SEED_OFFSET = 600_000;
const PATH_CUTS_SEED_OFFSET = 700_000;
const PLANNED_STOPS_SEED_OFFSET = 800_000;
/** Time in which to detect that a refused request is executed after all. */
const SETTLE_MS: Milliseconds = 500;

export async function runOnce(plan: RunPlan): Promise<RunReport> {
  const logFolder = join(plan.logFolder, `seed-${plan.seed}`);
  mkdirSync(logFolder, {recursive: true});
  const history = new History(systemClock);
  const testbed = new Testbed(history, plan.seed, logFolder);
  // Callers' draws depend on timing, so they must not share the faults' sequence.
  const callers = new Callers(testbed, history, seededRandom(-plan.seed));
  const watch = new ConfigurationWatch(testbed, callers);
  const harmful = new HarmfulCaller(
    testbed.hosts,
    callers,
    seededRandom(plan.seed + HARMFUL_SEED_OFFSET),
  );
  const counts = new Map<string, number>();
  const findings: Finding[] = [];
  const stopMonitor = monitorStalls(history);
  try {
    await testbed.build(plan);
    await waitUntilServing(testbed, callers);
    callers.start(plan.callers);
    watch.start();
    if (plan.harmful) {
      harmful.start();
    }
    const played = await Promise.all([
      injectFaults(testbed, plan, counts),
      ...planDrills(plan, callers).map(drillPlan =>
        runDrills(testbed, plan, counts, drillPlan),
      ),
    ]);
    findings.push(...played.flat());
    await harmful.stop();
    testbed.clearFaults();
    findings.push(...(await waitUntilServing(testbed, callers)));
    await watch.stop();
    findings.push(...(await stopAll(testbed)));
    await callers.stop();
    await sleep(SETTLE_MS);
  } finally {
    await harmful.stop();
    await callers.stop();
    await watch.stop();
    stopMonitor();
    await testbed.close();
    const events = history.events.join('\n');
    writeFileSync(join(logFolder, 'deeds.log'), `${events}\n`);
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

/** Injects faults at random times; they may overlap. */
async function injectFaults(
  testbed: Testbed,
  {faults, faultPhaseMs}: RunPlan,
  counts: Map<string, number>,
): Promise<readonly Finding[]> {
  const {random} = testbed;
  const begins = randomTimes(faults, faultPhaseMs, random);
  const findings: Finding[] = [];
  const pending: Promise<void>[] = [];
  let now: Milliseconds = 0;
  for (const at of begins) {
    await sleep(at - now);
    now = at;
    const kind = FAULT_KINDS[Math.floor(random() * FAULT_KINDS.length)];
    if (kind) {
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
      testbed.history.noteEvent(kind);
      const durationMs =
        MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS);
      pending.push(
        FAULTS[kind](testbed, durationMs).catch((error: unknown) => {
          findings.push({guarantee: 'restart', detail: String(error)});
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
  /** Whether upstreams accept fewer requests meanwhile than they have capacity for. */
  readonly limitsCapacity?: boolean;
}

function planDrills(plan: RunPlan, callers: Callers): readonly DrillPlan[] {
  return [
    {
      drills: DRILLS,
      count: plan.drills,
      seed: plan.seed + DRILL_SEED_OFFSET,
      limitsCapacity: true,
    },
    {
      drills: LOST_READS,
      count: plan.lostReads,
      seed: plan.seed + LOST_READS_SEED_OFFSET,
    },
    {
      drills: ANNOUNCEMENTS,
      count: plan.announcements,
      seed: plan.seed + ANNOUNCEMENTS_SEED_OFFSET,
      limitsCapacity: true,
    },
    {
      drills: customerDrills(callers),
      count: plan.customers,
      seed: plan.seed + CUSTOMERS_SEED_OFFSET,
    },
    {
      drills: STORE_ODDITIES,
      count: plan.storeOddities,
      seed: plan.seed + STORE_ODDITIES_SEED_OFFSET,
    },
    {
      drills: PATH_CUTS,
      count: plan.pathCuts,
      seed: plan.seed + PATH_CUTS_SEED_OFFSET,
    },
    {
      drills: PLANNED_STOPS,
      count: plan.links,
      seed: plan.seed + PLANNED_STOPS_SEED_OFFSET,
    },
  ];
}

/** Runs drills at random times, concurrently with the faults. */
async function runDrills(
  testbed: Testbed,
  {faultPhaseMs}: RunPlan,
  counts: Map<string, number>,
  {drills, count, seed, limitsCapacity = false}: DrillPlan,
): Promise<readonly Finding[]> {
  const {history} = testbed;
  const draws = seededRandom(seed);
  const findings: Finding[] = [];
  const kinds = Object.keys(drills);
  const moments = randomTimes(count, faultPhaseMs, draws);
  const pending = moments.map(async (at, index) => {
    // Drills overlap: from a shared sequence they would draw in varying order.
    const random = seededRandom(seed + index + 1);
    await sleep(at);
    const kind = kinds[Math.floor(random() * kinds.length)];
    const drill = kind === undefined ? undefined : drills[kind];
    if (kind !== undefined && drill) {
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
      history.noteEvent(kind);
      const from = history.clock.now();
      await drill(testbed, random).catch((error: unknown) => {
        findings.push({guarantee: 'drill', detail: String(error)});
      });
      if (limitsCapacity) {
        const to = history.clock.now() + FAULT_RECOVERY_MS;
        history.customers.capacityFaults.push({from, to});
      }
    }
  });
  await Promise.all(pending);
  return findings;
}

/** Returns random times within the phase, in ascending order. */
function randomTimes(
  count: number,
  faultPhaseMs: Milliseconds,
  random: Random,
): readonly Milliseconds[] {
  const moments = Array.from({length: count}, () => random() * faultPhaseMs);
  return moments.sort((a, b) => a - b);
}

/** Waits until each host serves; reports those that don't in time. */
async function waitUntilServing(
  testbed: Testbed,
  callers: Callers,
): Promise<readonly Finding[]> {
  const {clock} = testbed.history;
  const until = clock.now() + RECOVERY_TIMEOUT_MS;
  const late = await Promise.all(
    [...testbed.hosts.keys()].map(async host => {
      while (clock.now() < until) {
        const outcome = await callers.sendLookup(host, '/lookup/ready');
        if (outcome.kind === 'answered' && outcome.status === 200) {
          return undefined;
        }
        await sleep(POLL_INTERVAL_MS);
      }
      return {guarantee: 'recovery', detail: `host ${host} does not serve`};
    }),
  );
  return late.filter(one => one !== undefined);
}

/** Stops all hosts under load; reports those that exceed the grace period. */
async function stopAll(testbed: Testbed): Promise<readonly Finding[]> {
  const all = [...testbed.hosts.keys()];
  const late = await Promise.all(
    all.map(async host => {
      const hasExited = stopHost(testbed, host).then(() => true);
      const inTime = await Promise.race([
        hasExited,
        sleep(GRACE_MS + TIMING_SLACK_MS).then(() => false),
      ]);
      return inTime
        ? undefined
        : {
            guarantee: 'grace period',
            detail: `host ${host} exceeded its grace period`,
          };
    }),
  );
  return late.filter(one => one !== undefined);
}

function countServed({outcomes}: History): number {
  let served = 0;
  outcomes.forEach(outcome => {
    served += outcome.kind === 'answered' && outcome.status === 200 ? 1 : 0;
  });
  return served;
}
