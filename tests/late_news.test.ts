import {expect, test} from 'vitest';
import {newsBudget} from '../src/decisions/fleet/index.js';
import type {Milliseconds, Random} from '../src/time/index.js';
import {seededRandom} from '../src/time/index.js';
import {FleetSimulation} from './support/fleet_simulation.js';
import type {SimulatedHost} from './support/simulated_host.js';

/** Time after its acknowledgement by which a change must be in force. */
const IN_FORCE_MS: Milliseconds = 2_000;
/** A host is held to that once it has been untroubled for this time. */
const CONTACT_MS: Milliseconds = 3_000;
/** Time until a host that starts again has joined the fleet. */
const START_MS: Milliseconds = 500;
const SETTLED_MS: Milliseconds = 8_000;
const PLAYED_MS: Milliseconds = 40_000;
const CHANGE_EACH_MS: Milliseconds = 450;
const TROUBLE_EACH_MS: Milliseconds = 1_500;
const MOST_STRUCK = 3;
const SLOW_ANSWER_MS = 400;
const BUDGET = newsBudget(IN_FORCE_MS);

interface Strike {
  readonly fleet: FleetSimulation;
  readonly struck: readonly SimulatedHost[];
  readonly forMs: Milliseconds;
}

/** @returns for how long those that are struck are in trouble themselves */
type Trouble = (strike: Strike) => Milliseconds;

const TROUBLES = {
  'loss of power': ({fleet, struck, forMs}) => {
    restartAfter(fleet, struck, true, forMs);
    return forMs + START_MS;
  },
  kills: ({fleet, struck}) => {
    restartAfter(fleet, struck, false, START_MS);
    return 2 * START_MS;
  },
  freezes: ({fleet, struck, forMs}) => {
    struck.forEach(host => fleet.freeze(host, forMs));
    return forMs;
  },
  'cuts from the store': ({fleet, struck, forMs}) => {
    cutFromStore(fleet, struck, forMs);
    return forMs;
  },
  'cuts from the store and other data centres': ({fleet, struck, forMs}) => {
    cutFromStore(fleet, struck, forMs);
    const set = new Set(struck);
    const heal = fleet.cut(
      (a, b) =>
        (set.has(a) || set.has(b)) && a.peer.dataCentre !== b.peer.dataCentre,
    );
    fleet.later(forMs, heal);
    return forMs;
  },
  'cuts from all hosts': ({fleet, struck, forMs}) => {
    const set = new Set(struck);
    const heal = fleet.cut((a, b) => set.has(a) || set.has(b));
    fleet.later(forMs, heal);
    return 0;
  },
  'ways that lead one way only': ({fleet, struck, forMs}) => {
    const set = new Set(struck);
    const heal = fleet.cut(a => set.has(a));
    fleet.later(forMs, heal);
    return 0;
  },
  suspensions: ({fleet, struck, forMs}) => {
    struck.forEach(host => fleet.suspend(host, forMs));
    return forMs;
  },
  'ways that stall': ({fleet, struck, forMs}) => {
    const set = new Set(struck);
    fleet.stall((a, b) => set.has(a) !== set.has(b), forMs / 4);
    return 0;
  },
  'a mix of troubles': strike => anyOf(strike)(strike),
} satisfies Readonly<Record<string, Trouble>>;

type TroubleName = keyof typeof TROUBLES;

const NAMES = Object.keys(TROUBLES) as readonly TroubleName[];

/** Any but the mix itself, which comes last. */
function anyOf({fleet}: Strike): Trouble {
  const index = Math.floor(fleet.random() * (NAMES.length - 1));
  return TROUBLES[NAMES[index] ?? 'kills'];
}

function restartAfter(
  fleet: FleetSimulation,
  struck: readonly SimulatedHost[],
  silent: boolean,
  forMs: Milliseconds,
): void {
  const lost = struck.filter(({alive}) => alive);
  lost.forEach(host => fleet.kill(host, silent));
  fleet.later(forMs, () => fleet.start(false, lost));
}

function cutFromStore(
  fleet: FleetSimulation,
  struck: readonly SimulatedHost[],
  forMs: Milliseconds,
): void {
  struck.forEach(host => (host.isCutFromStore = true));
  fleet.later(forMs, () =>
    struck.forEach(host => (host.isCutFromStore = false)),
  );
}

/** Often the reader is among them, on whom the others depend. */
function chooseStruck(
  fleet: FleetSimulation,
  random: Random,
): readonly SimulatedHost[] {
  const count = 1 + Math.floor(random() * MOST_STRUCK);
  const first = random() < 0.6 ? fleet.roots : [];
  const drawn = fleet.live.map(host => ({host, rank: random()}));
  const others = drawn.sort((a, b) => a.rank - b.rank).map(({host}) => host);
  return [...new Set([...first, ...others])].slice(0, count);
}

/** Hosts that lacked a change when it had to be in force, each as a line. */
function playChanges(
  fleet: FleetSimulation,
  trouble: Trouble,
  random: Random,
): readonly string[] {
  const late: string[] = [];
  const calmFrom = new Map<SimulatedHost, Milliseconds>();
  const isInTouch = (host: SimulatedHost): boolean =>
    (calmFrom.get(host) ?? -Infinity) + CONTACT_MS <= fleet.clock.now();
  const check = (change: number): void => {
    const lacking = fleet.live.filter(({known}) => known < change);
    for (const host of lacking.filter(isInTouch)) {
      const ms = Math.round(host.freshness.ageMs);
      late.push(`${host.address} lacks change ${change}; news ${ms} ms old`);
    }
  };
  for (let at = 0; at < PLAYED_MS; at += CHANGE_EACH_MS) {
    fleet.later(at, () => {
      fleet.change();
      const change = fleet.newest;
      fleet.later(IN_FORCE_MS, () => check(change));
    });
  }
  for (let at = 0; at < PLAYED_MS; at += TROUBLE_EACH_MS * (0.5 + random())) {
    fleet.later(at, () => {
      const struck = chooseStruck(fleet, random);
      const forMs = 300 + random() * 3_000;
      const troubledMs = trouble({fleet, struck, forMs});
      const calmAt = fleet.clock.now() + troubledMs;
      struck
        .filter(() => troubledMs > 0)
        .filter(host => calmAt > (calmFrom.get(host) ?? -Infinity))
        .forEach(host => calmFrom.set(host, calmAt));
    });
  }
  fleet.run(PLAYED_MS + IN_FORCE_MS);
  return late;
}

function playSeeds(
  hosts: number,
  seeds: number,
  name: TroubleName,
): readonly string[] {
  return Array.from({length: seeds}, (_, index) => index + 1).flatMap(seed => {
    const fleet = new FleetSimulation({hosts, dataCentres: 4, seed});
    fleet.start(true);
    fleet.run(SETTLED_MS);
    const late = playChanges(fleet, TROUBLES[name], seededRandom(seed));
    return late.map(line => `seed ${seed}: ${line}`);
  });
}

// A change that is in force late at hosts that nothing befell.
test.each(NAMES)('changes come in time to calm hosts amid %s', name => {
  expect(playSeeds(13, 20, name)).toEqual([]);
});

test('changes come in time to calm hosts of a fleet of 60', () => {
  expect(playSeeds(60, 3, 'a mix of troubles')).toEqual([]);
});

// Hosts that leave the store to others, all of which it turns away.
test.each([1, 2, 3, 4, 5, 6])(
  'changes come in time though the store turns away all near the reader (seed %i)',
  seed => {
    const fleet = new FleetSimulation({hosts: 30, dataCentres: 4, seed});
    fleet.start(true);
    fleet.run(SETTLED_MS);
    const isNear = ({node}: SimulatedHost): boolean => node.position.depth <= 1;
    fleet.live.filter(isNear).forEach(host => (host.isTurnedAway = true));
    const others = fleet.live.filter(host => !isNear(host));
    fleet.change();
    fleet.run(IN_FORCE_MS);
    const lacking = others.filter(({known}) => known < fleet.newest);
    expect(lacking.map(({address}) => address)).toEqual([]);
  },
);

/** Age of the oldest news that any host has within the next while. */
function oldestNews(fleet: FleetSimulation, ms: Milliseconds): Milliseconds {
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
  fleet.run(SETTLED_MS);
  const depths = fleet.live.map(({node}) => node.position.depth);
  expect(Math.max(...depths)).toBeGreaterThan(2);
  expect(oldestNews(fleet, 20_000)).toBeLessThan(BUDGET.overdueMs);
});

// Many hosts that read a slow store in place of the one that it serves.
test('a store that answers slowly is read by one host', () => {
  const fleet = new FleetSimulation({hosts: 30, dataCentres: 4, seed: 1});
  fleet.start(true);
  fleet.run(SETTLED_MS);
  fleet.storeAnswerMs = SLOW_ANSWER_MS;
  fleet.run(5_000);
  const before = fleet.callCount;
  expect(oldestNews(fleet, PLAYED_MS)).toBeLessThan(BUDGET.overdueMs);
  const callsOfOne = PLAYED_MS / SLOW_ANSWER_MS;
  expect(fleet.callCount - before).toBeLessThanOrEqual(callsOfOne);
});
