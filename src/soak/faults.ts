/** What a run puts its hosts through, each kind with its handler. */

import type {ReportingFault, StoreFault} from '../standins/index.js';
import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import {LEAVING_MS, REST_MS} from './constants.js';
import type {LinkFault} from './fault_proxy.js';
import {GRACE_MS, type HostProcess} from './host_process.js';
import type {Span} from './types.js';
import type {SoakUpstream, World} from './world.js';

const LAG_MS: Milliseconds = 100;

const LINK_FAULTS: readonly LinkFault[] = [
  'delay',
  'reset',
  'one-way',
  'silent',
];
const STORE_FAULTS: readonly StoreFault[] = [
  'refuse',
  'limit',
  'reset',
  'silent',
  'lose-answers',
  'late',
];
const UPSTREAM_FAULTS: readonly ReportingFault[] = [
  'shed',
  'error',
  'lose-answer',
  'cut',
  'cut-unframed',
  'unframed',
  'answer-twice',
  'wrong-id',
  'garbage',
  'hang',
  'unsigned',
];

export type FaultKind =
  | 'kill'
  | 'kill-all'
  | 'pause'
  | 'stop'
  | 'reload'
  | 'store'
  | 'store-of-one'
  | 'store-slow'
  | 'store-deaf'
  | 'store-trim'
  | 'store-link'
  | 'upstream'
  | 'upstream-link'
  | 'lying-health'
  | 'replace-upstream'
  | 'configure'
  | 'configure-often';

/** Carries one fault out; resolves when it is over. */
type Handler = (world: World, lastsMs: Milliseconds) => Promise<void>;

export const FAULTS: Readonly<Record<FaultKind, Handler>> = {
  kill: (world, lastsMs) => kill(world, pickHost(world), lastsMs),
  'kill-all': async (world, lastsMs) => {
    const all = [...world.hosts.keys()];
    await Promise.all(all.map(host => kill(world, host, lastsMs / 2)));
  },
  pause: async (world, lastsMs) => {
    const host = pickHost(world);
    world.history.noteHostTrouble(host, spanFrom(world, lastsMs + REST_MS));
    world.hosts[host]?.signal('SIGSTOP');
    await sleep(lastsMs);
    world.hosts[host]?.signal('SIGCONT');
  },
  stop: world => stopAndStart(world, pickHost(world)),
  reload: world => {
    world.hosts[pickHost(world)]?.signal('SIGHUP');
    return Promise.resolve();
  },
  store: (world, lastsMs) =>
    duringStoreTrouble(world, lastsMs, fault => {
      world.store.fault = fault;
    }),
  'store-of-one': async (world, lastsMs) => {
    const host = pickHost(world);
    const door = world.ways[host]?.door;
    world.noteWayTrouble(host, lastsMs);
    if (door) {
      door.fault = pick(world, STORE_FAULTS);
      await sleep(lastsMs);
      door.fault = 'none';
    }
  },
  'store-slow': async (world, lastsMs) => {
    world.history.storeTroubles.push(spanFrom(world, lastsMs + REST_MS));
    world.ways.forEach(({door}) => (door.delayMs = LAG_MS));
    await sleep(lastsMs);
    world.ways.forEach(({door}) => (door.delayMs = 0));
  },
  'store-deaf': async (world, lastsMs) => {
    world.history.storeTroubles.push(spanFrom(world, lastsMs + REST_MS));
    world.store.fault = 'deaf';
    await sleep(lastsMs);
    world.store.fault = 'none';
  },
  'store-trim': world => {
    world.history.storeTroubles.push(spanFrom(world, REST_MS));
    world.store.trim('keyed.op');
    world.store.trim('keyed.servers');
    return Promise.resolve();
  },
  'store-link': async (world, lastsMs) => {
    const host = pickHost(world);
    const way = world.ways[host];
    world.noteWayTrouble(host, lastsMs);
    if (way) {
      way.link.fault = pick(world, LINK_FAULTS);
      await sleep(lastsMs);
      way.link.fault = 'none';
    }
  },
  upstream: (world, lastsMs) =>
    duringUpstreamTrouble(world, lastsMs, async upstream => {
      upstream.server.fault = pick(world, UPSTREAM_FAULTS);
      await sleep(lastsMs);
      upstream.server.fault = 'none';
    }),
  'upstream-link': (world, lastsMs) =>
    duringUpstreamTrouble(world, lastsMs, async upstream => {
      upstream.link.fault = pick(world, LINK_FAULTS);
      await sleep(lastsMs);
      upstream.link.fault = 'none';
    }),
  'lying-health': (world, lastsMs) =>
    duringUpstreamTrouble(world, lastsMs, async upstream => {
      upstream.server.healthy = false;
      await sleep(lastsMs);
      upstream.server.healthy = true;
    }),
  'replace-upstream': async world => {
    const upstream = pick(world, world.upstreams);
    await world.addUpstream();
    world.drain(upstream);
    await sleep(LEAVING_MS);
    world.remove(upstream);
  },
  configure: world => {
    world.configure();
    return Promise.resolve();
  },
  'configure-often': async world => {
    for (let i = 0; i < 6; i += 1) {
      world.configure();
      await sleep(LAG_MS);
    }
  },
};

export const FAULT_KINDS = Object.keys(FAULTS) as readonly FaultKind[];

/** Stops a host as an operator does, and starts it again once it is gone. */
export async function stopAndStart(world: World, host: number): Promise<void> {
  await stop(world, host);
  await startAgain(world, host);
}

/** Resolves once the process is gone. */
export async function stop(world: World, host: number): Promise<void> {
  const process = world.hosts[host];
  if (process?.isRunning) {
    world.history.noteStop(host, spanFrom(world, GRACE_MS + REST_MS));
    process.signal('SIGTERM');
    await process.gone();
  }
}

async function kill(
  world: World,
  host: number,
  lastsMs: Milliseconds,
): Promise<void> {
  world.history.noteHostTrouble(host, spanFrom(world, lastsMs + REST_MS));
  const process = world.hosts[host];
  process?.signal('SIGKILL');
  await process?.gone();
  await sleep(lastsMs);
  await startAgain(world, host);
}

/** Another fault of the same host may have started it already. */
async function startAgain(world: World, host: number): Promise<void> {
  const process: HostProcess | undefined = world.hosts[host];
  if (process && !process.isRunning) {
    world.history.noteHostTrouble(host, spanFrom(world, REST_MS));
    await process.start();
    if (process.endedUnstarted) {
      await startAgain(world, host);
    }
  }
}

async function duringStoreTrouble(
  world: World,
  lastsMs: Milliseconds,
  set: (fault: StoreFault) => void,
): Promise<void> {
  world.history.storeTroubles.push(spanFrom(world, lastsMs + REST_MS));
  set(pick(world, STORE_FAULTS));
  await sleep(lastsMs);
  set('none');
}

async function duringUpstreamTrouble(
  world: World,
  lastsMs: Milliseconds,
  disturb: (upstream: SoakUpstream) => Promise<void>,
): Promise<void> {
  world.history.upstreamTroubles.push(spanFrom(world, lastsMs + REST_MS));
  await disturb(pick(world, world.upstreams));
}

function spanFrom({history}: World, lastsMs: Milliseconds): Span {
  const from = history.clock.now();
  return {from, to: from + lastsMs};
}

function pickHost({hosts, random}: World): number {
  return Math.floor(random() * hosts.length);
}

/** One of several, drawn by chance. */
export function pick<T>(
  {random}: Pick<World, 'random'>,
  from: readonly T[],
): T {
  const chosen = from[Math.floor(random() * from.length)];
  if (chosen === undefined) {
    throw new Error('nothing to pick from; give the run more upstreams');
  }
  return chosen;
}
