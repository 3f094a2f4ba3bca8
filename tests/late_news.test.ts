import {expect, test} from 'vitest';
import {propagationBudget} from '../src/decisions/fleet/index.js';
import type {Milliseconds, Random} from '../src/time/index.js';
import {seededRandom} from '../src/time/index.js';
import {FleetSimulation} from './support/fleet_simulation.js';
import type {SimulatedHost} from './support/simulated_host.js';

/** Time after its acknowledgement by which every host must know a change. */
const PROPAGATION_BOUND_MS: Milliseconds = 2_000;
/** The bound applies to hosts that no fault has affected for this time. */
const RECOVERY_MS: Milliseconds = 3_000;
/** Time until a restarted host has joined the fleet. */
const START_MS: Milliseconds = 500;
const SETTLE_MS: Milliseconds = 8_000;
const RUN_MS: Milliseconds = 40_000;
const CHANGE_INTERVAL_MS: Milliseconds = 450;
const FAULT_INTERVAL_MS: Milliseconds = 1_500;
const MAX_FAULTY_HOSTS = 3;
const SLOW_STORE_LATENCY_MS = 400;
const MAX_DELAY_MS: Milliseconds = 600;
const BUDGET = propagationBudget(PROPAGATION_BOUND_MS);

interface FaultContext {
  readonly fleet: FleetSimulation;
  readonly targets: readonly SimulatedHost[];
  readonly forMs: Milliseconds;
}

/** @returns for how long the targets themselves are affected */
type FaultInjector = (context: FaultContext) => Milliseconds;

const FAULTS = {
  'power losses': ({fleet, targets, forMs}) => {
    restartAfter(fleet, targets, true, forMs);
    return forMs + START_MS;
  },
  kills: ({fleet, targets}) => {
    restartAfter(fleet, targets, false, START_MS);
    return 2 * START_MS;
  },
  freezes: ({fleet, targets, forMs}) => {
    targets.forEach(host => fleet.freeze(host, forMs));
    return forMs;
  },
  'partitions from the store': ({fleet, targets, forMs}) => {
    cutFromStore(fleet, targets, forMs);
    return forMs;
  },
  'partitions from the store and other data centres': ({
    fleet,
    targets,
    forMs,
  }) => {
    cutFromStore(fleet, targets, forMs);
    const set = new Set(targets);
    const heal = fleet.cut(
      (a, b) =>
        (set.has(a) || set.has(b)) && a.peer.dataCentre !== b.peer.dataCentre,
    );
    fleet.schedule(forMs, heal);
    return forMs;
  },
  'partitions from all hosts': ({fleet, targets, forMs}) => {
    const set = new Set(targets);
    const heal = fleet.cut((a, b) => set.has(a) || set.has(b));
    fleet.schedule(forMs, heal);
    return 0;
  },
  'one-way partitions': ({fleet, targets, forMs}) => {
    const set = new Set(targets);
    const heal = fleet.cut(a => set.has(a));
    fleet.schedule(forMs, heal);
    return 0;
  },
  suspensions: ({fleet, targets, forMs}) => {
    targets.forEach(host => fleet.suspend(host, forMs));
    return forMs;
  },
  'stalled links': ({fleet, targets, forMs}) => {
    const set = new Set(targets);
    fleet.stall((a, b) => set.has(a) !== set.has(b), forMs / 4);
    return 0;
  },
  'delayed answers of the store': ({fleet, targets, forMs}) => {
    targets.forEach(
      host => (host.storeDelayMs = MAX_DELAY_MS * fleet.random()),
    );
    fleet.schedule(forMs, () =>
      targets.forEach(host => (host.storeDelayMs = 0)),
    );
    return forMs;
  },
  'a mix of faults': context => randomFault(context)(context),
} satisfies Readonly<Record<string, FaultInjector>>;

type FaultName = keyof typeof FAULTS;

const FAULT_NAMES = Object.keys(FAULTS) as readonly FaultName[];

/** Any fault but the mix itself, which comes last. */
function randomFault({fleet}: FaultContext): FaultInjector {
  const index = Math.floor(fleet.random() * (FAULT_NAMES.length - 1));
  return FAULTS[FAULT_NAMES[index] ?? 'kills'];
}

function restartAfter(
  fleet: FleetSimulation,
  targets: readonly SimulatedHost[],
  silent: boolean,
  forMs: Milliseconds,
): void {
  const lost = targets.filter(({alive}) => alive);
  lost.forEach(host => fleet.kill(host, silent));
  fleet.schedule(forMs, () => fleet.start(false, lost));
}

function cutFromStore(
  fleet: FleetSimulation,
  targets: readonly SimulatedHost[],
  forMs: Milliseconds,
): void {
  targets.forEach(host => (host.isCutFromStore = true));
  fleet.schedule(forMs, () =>
    targets.forEach(host => (host.isCutFromStore = false)),
  );
}

/** Often includes the reader, on which the other hosts depend. */
function chooseTargets(
  fleet: FleetSimulation,
  random: Random,
): readonly SimulatedHost[] {
  const count = 1 + Math.floor(random() * MAX_FAULTY_HOSTS);
  const first = random() < 0.6 ? fleet.roots : [];
  const drawn = fleet.live.map(host => ({host, rank: random()}));
  const others = drawn.sort((a, b) => a.rank - b.rank).map(({host}) => host);
  return [...new Set([...first, ...others])].slice(0, count);
}

/** Hosts that lacked a change when the bound had passed, each as a line. */
function lateChanges(
  fleet: FleetSimulation,
  inject: FaultInjector,
  random: Random,
): readonly string[] {
  const late: string[] = [];
  const recoveredAt = new Map<SimulatedHost, Milliseconds>();
  const hasRecovered = (host: SimulatedHost): boolean =>
    (recoveredAt.get(host) ?? -Infinity) + RECOVERY_MS <= fleet.clock.now();
  const check = (change: number): void => {
    const lacking = fleet.live.filter(
      ({newestChange}) => newestChange < change,
    );
    for (const host of lacking.filter(hasRecovered)) {
      const ms = Math.round(host.freshness.ageMs);
      late.push(`${host.address} lacks change ${change}; data ${ms} ms old`);
    }
  };
  for (let at = 0; at < RUN_MS; at += CHANGE_INTERVAL_MS) {
    fleet.schedule(at, () => {
      fleet.change();
      const change = fleet.newest;
      fleet.schedule(PROPAGATION_BOUND_MS, () => check(change));
    });
  }
  for (let at = 0; at < RUN_MS; at += FAULT_INTERVAL_MS * (0.5 + random())) {
    fleet.schedule(at, () => {
      const targets = chooseTargets(fleet, random);
      const forMs = 300 + random() * 3_000;
      const affectedMs = inject({fleet, targets, forMs});
      const recoversAt = fleet.clock.now() + affectedMs;
      targets
        .filter(() => affectedMs > 0)
        .filter(host => recoversAt > (recoveredAt.get(host) ?? -Infinity))
        .forEach(host => recoveredAt.set(host, recoversAt));
    });
  }
  fleet.run(RUN_MS + PROPAGATION_BOUND_MS);
  return late;
}

function runSeeds(
  hosts: number,
  seeds: number,
  name: FaultName,
): readonly string[] {
  return Array.from({length: seeds}, (_, index) => index + 1).flatMap(seed =>
    runSeed(hosts, seed, name),
  );
}

function runSeed(
  hosts: number,
  seed: number,
  name: FaultName,
): readonly string[] {
  const fleet = new FleetSimulation({hosts, dataCentres: 4, seed});
  fleet.start(true);
  fleet.run(SETTLE_MS);
  const late = lateChanges(fleet, FAULTS[name], seededRandom(seed));
  return late.map(line => `seed ${seed}: ${line}`);
}

// Guards against late changes at hosts that no fault affects.
test.each(FAULT_NAMES)(
  'changes reach unaffected hosts in time despite %s',
  name => {
    expect(runSeeds(13, 20, name)).toEqual([]);
  },
);

// Guards against an age of data that leaves out suspensions and the way of an answer.
test.each([33, 221, 255, 334])(
  'changes reach unaffected hosts in time in seed %i of the mix',
  seed => {
    expect(runSeed(13, seed, 'a mix of faults')).toEqual([]);
  },
);

test('changes reach unaffected hosts of a fleet of 60 in time', () => {
  expect(runSeeds(60, 3, 'a mix of faults')).toEqual([]);
});

// Guards against hosts that leave reads to others, all of which the store
// refuses.
test.each([
  [1, 30],
  [2, 30],
  [3, 30],
  [4, 30],
  [5, 30],
  [6, 30],
  [162, 30],
  [335, 30],
  [408, 13],
  [1_334, 13],
])(
  'changes arrive in time though the store refuses all near the reader (seed %i, %i hosts)',
  (seed, hosts) => {
    const fleet = new FleetSimulation({hosts, dataCentres: 4, seed});
    fleet.start(true);
    fleet.run(SETTLE_MS);
    const isNear = ({node}: SimulatedHost): boolean => node.position.depth <= 1;
    fleet.live.filter(isNear).forEach(host => (host.isRefusedByStore = true));
    const others = fleet.live.filter(host => !isNear(host));
    fleet.change();
    fleet.run(PROPAGATION_BOUND_MS);
    const lacking = others.filter(
      ({newestChange}) => newestChange < fleet.newest,
    );
    expect(lacking.map(({address}) => address)).toEqual([]);
  },
);

/** Highest age of any host's data during the given time. */
function maxAge(fleet: FleetSimulation, ms: Milliseconds): Milliseconds {
  let oldest = 0;
  for (let passed = 0; passed < ms; passed += 10) {
    fleet.run(10);
    const ages = fleet.live.map(({freshness}) => freshness.ageMs);
    oldest = Math.max(oldest, ...ages);
  }
  return oldest;
}

// Guards against hosts far from the reader whose data turns stale without any
// fault.
test('data of hosts far from the reader is not stale without faults', () => {
  const fleet = new FleetSimulation({hosts: 100, dataCentres: 2, seed: 1});
  fleet.start(true);
  fleet.run(SETTLE_MS);
  const depths = fleet.live.map(({node}) => node.position.depth);
  expect(Math.max(...depths)).toBeGreaterThan(2);
  expect(maxAge(fleet, 20_000)).toBeLessThan(BUDGET.staleAfterMs);
});

// Guards against many hosts that read a slow store in place of the one that it
// serves.
test('a store that answers slowly is read by one host', () => {
  const fleet = new FleetSimulation({hosts: 30, dataCentres: 4, seed: 1});
  fleet.start(true);
  fleet.run(SETTLE_MS);
  fleet.storeLatencyMs = SLOW_STORE_LATENCY_MS;
  fleet.run(5_000);
  const before = fleet.storeCallCount;
  expect(maxAge(fleet, RUN_MS)).toBeLessThan(BUDGET.staleAfterMs);
  const callsOfOne = RUN_MS / SLOW_STORE_LATENCY_MS;
  expect(fleet.storeCallCount - before).toBeLessThanOrEqual(callsOfOne);
});
