/** The situations in which policies are compared. */

import type {Milliseconds} from '../../time/index.js';
import type {FakeServer} from './fake_server.js';
import type {EventSimulator} from './event_simulator.js';

/** A service at one of the two users' sizes of today. */
export interface Site {
  readonly name: string;
  readonly servers: number;
  readonly slots: number;
  readonly hosts: number;
  readonly dataCentres: number;
  /** One-way delay between data centres. */
  readonly distanceMs: Milliseconds;
}

export const SITES: readonly Site[] = [
  {
    name: 'tshwane',
    servers: 20,
    slots: 3,
    hosts: 17,
    dataCentres: 3,
    distanceMs: 1.5,
  },
  {
    name: 'tshwane13',
    servers: 13,
    slots: 3,
    hosts: 17,
    dataCentres: 3,
    distanceMs: 1.5,
  },
  {
    name: 'ballinrobe',
    servers: 15,
    slots: 6,
    hosts: 13,
    dataCentres: 4,
    distanceMs: 1,
  },
  {
    name: 'ballinrobe10',
    servers: 10,
    slots: 6,
    hosts: 13,
    dataCentres: 4,
    distanceMs: 1,
  },
];

/** One-way delay within a data centre. */
export const LOCAL_DELAY_MS: Milliseconds = 0.1;
export const MEAN_SERVICE_MS: Milliseconds = 10;
/** Speeds that neighbours leave a server, drawn with equal chance. */
const NOISY_SPEEDS = [1, 0.6, 0.15] as const;
const MEAN_NOISY_SPEED =
  NOISY_SPEEDS.reduce((sum, speed) => sum + speed, 0) / NOISY_SPEEDS.length;
const FAULT_AT_MS: Milliseconds = 3_000;
/** From the list's word to the stop of a leaving server. */
const DRAIN_GRACE_MS: Milliseconds = 3_000;
const COLD_SPEED = 0.2;

/** What a policy is told by the platform. */
export interface ServerListListener {
  onLeaving(server: FakeServer): void;
  onAdded(server: FakeServer): void;
}

export interface Scenario {
  readonly name: string;
  readonly site: Site;
  /** Share of the mean capacity that arrives. */
  readonly load: number;
  readonly meanSpeed: number;
  readonly deadlineMs: Milliseconds;
  /** Share of requests that are patient. */
  readonly patient: number;
  /** Share of requests that are orders, which no host hands over. */
  readonly orders: number;
  /** Pauses the first host for 10 s. */
  readonly pauses: boolean;
  /** Servers that are there from the start; the rest is added. */
  readonly start: (
    world: EventSimulator,
    servers: readonly FakeServer[],
    listener: ServerListListener,
  ) => void;
}

type Start = Scenario['start'];

function noisy(meanMs: Milliseconds): Start {
  return (world, servers) => {
    for (const server of servers) {
      const draw = (): void => {
        const index = Math.floor(world.random() * NOISY_SPEEDS.length);
        server.setSpeed(NOISY_SPEEDS[index] ?? 1);
        world.after(world.exponential(meanMs), draw);
      };
      draw();
    }
  };
}

function fault(change: (server: FakeServer) => void): Start {
  return (world, servers) => {
    const [first] = servers;
    world.after(FAULT_AT_MS, () => first && change(first));
  };
}

const drain: Start = (world, servers, listener) => {
  const [first] = servers;
  world.after(FAULT_AT_MS, () => first && listener.onLeaving(first));
  world.after(FAULT_AT_MS + DRAIN_GRACE_MS, () => {
    if (first) {
      first.stopped = true;
    }
  });
};

const cold: Start = (world, servers, listener) => {
  const late = servers.slice(0, 2);
  late.forEach(server => (server.stopped = true));
  world.after(FAULT_AT_MS, () => {
    for (const server of late) {
      server.stopped = false;
      server.setSpeed(COLD_SPEED);
      listener.onAdded(server);
    }
  });
  for (let step = 1; step <= 8; step += 1) {
    const speed = COLD_SPEED + ((1 - COLD_SPEED) * step) / 8;
    world.after(FAULT_AT_MS + step * 250, () => {
      late.forEach(server => server.setSpeed(speed));
    });
  }
};

const lying: Start = (world, servers, listener) => {
  servers.forEach(
    (server, index) => (server.reportsZeroLoad = index % 2 === 0),
  );
  noisy(40)(world, servers, listener);
};

interface Situation {
  readonly name: string;
  readonly start: Start;
  readonly loads: readonly number[];
  readonly meanSpeed?: number;
  readonly deadlineMs?: Milliseconds;
  readonly patient?: number;
  readonly orders?: number;
  readonly pauses?: boolean;
}

const nothing: Start = () => undefined;
const SITUATIONS: readonly Situation[] = [
  {name: 'steady', start: nothing, loads: [0.5, 0.7, 0.85]},
  {name: 'noisy5', start: noisy(5), loads: [0.85], meanSpeed: MEAN_NOISY_SPEED},
  {
    name: 'noisy40',
    start: noisy(40),
    loads: [0.85],
    meanSpeed: MEAN_NOISY_SPEED,
  },
  {
    name: 'noisy40orders',
    start: noisy(40),
    loads: [0.85],
    meanSpeed: MEAN_NOISY_SPEED,
    orders: 0.2,
  },
  {
    name: 'straggler',
    start: fault(server => server.setSpeed(0.1)),
    loads: [0.7],
  },
  {
    name: 'failfast',
    start: fault(server => (server.failing = true)),
    loads: [0.7],
  },
  {name: 'cold', start: cold, loads: [0.7]},
  {name: 'drain', start: drain, loads: [0.7]},
  {name: 'lying', start: lying, loads: [0.7], meanSpeed: MEAN_NOISY_SPEED},
  {name: 'overload', start: nothing, loads: [2], deadlineMs: 500, patient: 0.6},
  {name: 'pause', start: nothing, loads: [0.7], pauses: true},
];

/** All situations at all sites; names carry site, load and hosts. */
export const SCENARIOS: readonly Scenario[] = SITES.flatMap(site =>
  SITUATIONS.flatMap(situation =>
    situation.loads.map(load => ({
      name: `${site.name}-${situation.name}-${Math.round(load * 100)}-${site.hosts}`,
      site,
      load,
      meanSpeed: situation.meanSpeed ?? 1,
      deadlineMs: situation.deadlineMs ?? 5_000,
      patient: situation.patient ?? 0,
      orders: situation.orders ?? 0,
      pauses: situation.pauses ?? false,
      start: situation.start,
    })),
  ),
);
