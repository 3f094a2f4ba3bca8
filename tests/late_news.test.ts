import {expect, test} from 'vitest';
import {propagationBudget} from '../src/decisions/fleet/index.js';
import type {Milliseconds, Random} from '../src/time/index.js';
import {seededRandom} from '../src/time/index.js';
import {FleetSimulation} from './support/fleet_simulation.js';
import type {SimulatedHost} from './support/simulated_host.js';

/** Time after its acknowledgement by which a change must be in force. */
const PROPAGATION_BOUND_MS: Milliseconds = 2_000;
/** A host is held to that once it has been untroubled for this time. */
const RECOVERY_MS: Milliseconds = 3_000;
/** Time until a host that starts again has joined the fleet. */
const START_MS: Milliseconds = 500;
const SETTLE_MS: Milliseconds = 8_000;
const RUN_MS: Milliseconds = 40_000;
const CHANGE_INTERVAL_MS: Milliseconds = 450;
const FAULT_INTERVAL_MS: Milliseconds = 1_500;
const MAX_FAULTY_HOSTS = 3;
const SLOW_STORE_LATENCY_MS = 400;
const BUDGET = propagationBudget(PROPAGATION_BOUND_MS);

interface FaultContext {
  readonly fleet: FleetSimulation;
  readonly targets: readonly SimulatedHost[];
  readonly forMs: Milliseconds;
}

/** @returns for how long those that are struck are in trouble themselves */
type FaultInjector = (strike: FaultContext) => Milliseconds;

const FAULTS = {
  'loss of power': ({fleet, targets: struck, forMs}) => {
    restartAfter(fleet, struck, true, forMs);
    return forMs + START_MS;
  },
  kills: ({fleet, targets: struck}) => {
    restartAfter(fleet, struck, false, START_MS);
    return 2 * START_MS;
  },
  freezes: ({fleet, targets: struck, forMs}) => {
    struck.forEach(host => fleet.freeze(host, forMs));
    return forMs;
  },
  'cuts from the store': ({fleet, targets: struck, forMs}) => {
    cutFromStore(fleet, struck, forMs);
    return forMs;
  },
  'cuts from the store and other data centres': ({
    fleet,
    targets: struck,
    forMs,
  }) => {
    cutFromStore(fleet, struck, forMs);
    const set = new Set(struck);
    const heal = fleet.cut(
      (a, b) =>
        (set.has(a) || set.has(b)) && a.peer.dataCentre !== b.peer.dataCentre,
    );
    fleet.schedule(forMs, heal);
    return forMs;
  },
  'cuts from all hosts': ({fleet, targets: struck, forMs}) => {
    const set = new Set(struck);
    const heal = fleet.cut((a, b) => set.has(a) || set.has(b));
    fleet.schedule(forMs, heal);
    return 0;
  },
  'ways that lead one way only': ({fleet, targets: struck, forMs}) => {
    const set = new Set(struck);
    const heal = fleet.cut(a => set.has(a));
    fleet.schedule(forMs, heal);
    return 0;
  },
  suspensions: ({fleet, targets: struck, forMs}) => {
    struck.forEach(host => fleet.suspend(host, forMs));
    return forMs;
  },
  'ways that stall': ({fleet, targets: struck, forMs}) => {
    const set = new Set(struck);
    fleet.stall((a, b) => set.has(a) !== set.has(b), forMs / 4);
    return 0;
  },
  'a mix of troubles': strike => randomFault(strike)(strike),
} satisfies Readonly<Record<string, FaultInjector>>;

type FaultName = keyof typeof FAULTS;

const FAULT_NAMES = Object.keys(FAULTS) as readonly FaultName[];

/** Any but the mix itself, which comes last. */
function randomFault({fleet}: FaultContext): FaultInjector {
  const index = Math.floor(fleet.random() * (FAULT_NAMES.length - 1));
  return FAULTS[FAULT_NAMES[index] ?? 'kills'];
}

function restartAfter(
  fleet: FleetSimulation,
  struck: readonly SimulatedHost[],
  silent: boolean,
  forMs: Milliseconds,
): void {
  const lost = struck.filter(({alive}) => alive);
  lost.forEach(host => fleet.kill(host, silent));
  fleet.schedule(forMs, () => fleet.start(false, lost));
}

function cutFromStore(
  fleet: FleetSimulation,
  struck: readonly SimulatedHost[],
  forMs: Milliseconds,
): void {
  struck.forEach(host => (host.isCutFromStore = true));
  fleet.schedule(forMs, () =>
    struck.forEach(host => (host.isCutFromStore = false)),
  );
}

/** Often the reader is among them, on whom the others depend. */
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

/** Hosts that lacked a change when it had to be in force, each as a line. */
function lateChanges(
  fleet: FleetSimulation,
  trouble: FaultInjector,
  random: Random,
): readonly string[] {
  const late: string[] = [];
  const recoveredAt = new Map<SimulatedHost, Milliseconds>();
  const hasRecovered = (host: SimulatedHost): boolean =>
    (recoveredAt.get(host) ?? -Infinity) + RECOVERY_MS <= fleet.clock.now();
  const check = (change: number): void => {
    const lacking = fleet.live.filter(
      ({newestChange: known}) => known < change,
    );
    for (const host of lacking.filter(hasRecovered)) {
      const ms = Math.round(host.freshness.ageMs);
      late.push(`${host.address} lacks change ${change}; news ${ms} ms old`);
    }
  };
  for (let at = 0; at < RUN_MS; at += CHANGE_INTERVAL_MS) {
    fleet.schedule(at, () => {
      fleet.change();
      const change = fleet.newestChange;
      fleet.schedule(PROPAGATION_BOUND_MS, () => check(change));
    });
  }
  for (let at = 0; at < RUN_MS; at += FAULT_INTERVAL_MS * (0.5 + random())) {
    fleet.schedule(at, () => {
      const struck = chooseTargets(fleet, random);
      const forMs = 300 + random() * 3_000;
      const troubledMs = trouble({fleet, targets: struck, forMs});
      const calmAt = fleet.clock.now() + troubledMs;
      struck
        .filter(() => troubledMs > 0)
        .filter(host => calmAt > (recoveredAt.get(host) ?? -Infinity))
        .forEach(host => recoveredAt.set(host, calmAt));
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
  return Array.from({length: seeds}, (_, index) => index + 1).flatMap(seed => {
    const fleet = new FleetSimulation({hosts, dataCentres: 4, seed});
    fleet.start(true);
    fleet.run(SETTLE_MS);
    const late = lateChanges(fleet, FAULTS[name], seededRandom(seed));
    return late.map(line => `seed ${seed}: ${line}`);
  });
}

// A change that is in force late at hosts that nothing befell.
test.each(FAULT_NAMES)('changes come in time to calm hosts amid %s', name => {
  expect(runSeeds(13, 20, name)).toEqual([]);
});

test('changes come in time to calm hosts of a fleet of 60', () => {
  expect(runSeeds(60, 3, 'a mix of troubles')).toEqual([]);
});

// Hosts that leave the store to others, all of which it turns away.
test.each([1, 2, 3, 4, 5, 6])(
  'changes come in time though the store turns away all near the reader (seed %i)',
  seed => {
    const fleet = new FleetSimulation({hosts: 30, dataCentres: 4, seed});
    fleet.start(true);
    fleet.run(SETTLE_MS);
    const isNear = ({node}: SimulatedHost): boolean => node.position.depth <= 1;
    fleet.live.filter(isNear).forEach(host => (host.isRefusedByStore = true));
    const others = fleet.live.filter(host => !isNear(host));
    fleet.change();
    fleet.run(PROPAGATION_BOUND_MS);
    const lacking = others.filter(
      ({newestChange: known}) => known < fleet.newestChange,
    );
    expect(lacking.map(({address}) => address)).toEqual([]);
  },
);

/** Age of the oldest news that any host has within the next while. */
function maxAge(fleet: FleetSimulation, ms: Milliseconds): Milliseconds {
  let oldest = 0;
  for (let passed = 0; passed < ms; passed += 10) {
    fleet.run(10);
    const ages = fleet.live.map(({freshness}) => freshness.ageMs);
    oldest = Math.max(oldest, ...ages);
  }
  return oldest;
}

// Hosts far from the reader that take their news for overdue while all is calm.
test('news of calm hosts far from the reader are not overdue', () => {
  const fleet = new FleetSimulation({hosts: 100, dataCentres: 2, seed: 1});
  fleet.start(true);
  fleet.run(SETTLE_MS);
  const depths = fleet.live.map(({node}) => node.position.depth);
  expect(Math.max(...depths)).toBeGreaterThan(2);
  expect(maxAge(fleet, 20_000)).toBeLessThan(BUDGET.staleAfterMs);
});

// Many hosts that read a slow store in place of the one that it serves.
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
