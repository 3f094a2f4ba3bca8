/** Kinds of faults that a run injects, each with its handler. */

import type {ReportingFault, StoreFault} from '../standins/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import {LEAVING_DURATION_MS, FAULT_RECOVERY_MS} from './constants.js';
import type {LinkFault} from './fault_proxy.js';
import {GRACE_MS, type HostProcess} from './host_process.js';
import type {Span} from './types.js';
import type {SoakUpstream, Testbed} from './testbed.js';

const SHORT_DELAY_MS: Milliseconds = 100;

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

/** Injects one fault; resolves when it is over. */
type FaultHandler = (
  testbed: Testbed,
  durationMs: Milliseconds,
) => Promise<void>;

export const FAULTS: Readonly<Record<FaultKind, FaultHandler>> = {
  kill: (testbed, durationMs) => kill(testbed, pickHost(testbed), durationMs),
  'kill-all': async (testbed, durationMs) => {
    const all = [...testbed.hosts.keys()];
    await Promise.all(all.map(host => kill(testbed, host, durationMs / 2)));
  },
  pause: async (testbed, durationMs) => {
    const host = pickHost(testbed);
    testbed.history.noteHostFault(
      host,
      spanFromNow(testbed, durationMs + FAULT_RECOVERY_MS),
    );
    testbed.hosts[host]?.signal('SIGSTOP');
    await sleep(durationMs);
    testbed.hosts[host]?.signal('SIGCONT');
  },
  stop: testbed => restart(testbed, pickHost(testbed)),
  reload: testbed => {
    testbed.hosts[pickHost(testbed)]?.signal('SIGHUP');
    return Promise.resolve();
  },
  store: (testbed, durationMs) =>
    withStoreFault(testbed, durationMs, fault => {
      testbed.store.fault = fault;
    }),
  'store-of-one': async (testbed, durationMs) => {
    const host = pickHost(testbed);
    const endpoint = testbed.storeLinks[host]?.endpoint;
    testbed.noteStoreLinkFault(host, durationMs);
    if (endpoint) {
      endpoint.fault = pick(testbed, STORE_FAULTS);
      await sleep(durationMs);
      endpoint.fault = 'none';
    }
  },
  'store-slow': async (testbed, durationMs) => {
    testbed.history.storeFaults.push(
      spanFromNow(testbed, durationMs + FAULT_RECOVERY_MS),
    );
    testbed.storeLinks.forEach(
      ({endpoint}) => (endpoint.delayMs = SHORT_DELAY_MS),
    );
    await sleep(durationMs);
    testbed.storeLinks.forEach(({endpoint}) => (endpoint.delayMs = 0));
  },
  'store-deaf': async (testbed, durationMs) => {
    testbed.history.storeFaults.push(
      spanFromNow(testbed, durationMs + FAULT_RECOVERY_MS),
    );
    testbed.store.fault = 'deaf';
    await sleep(durationMs);
    testbed.store.fault = 'none';
  },
  'store-trim': testbed => {
    testbed.history.storeFaults.push(spanFromNow(testbed, FAULT_RECOVERY_MS));
    testbed.store.trim('keyed.op');
    testbed.store.trim('keyed.servers');
    return Promise.resolve();
  },
  'store-link': async (testbed, durationMs) => {
    const host = pickHost(testbed);
    const storeLink = testbed.storeLinks[host];
    testbed.noteStoreLinkFault(host, durationMs);
    if (storeLink) {
      storeLink.proxy.fault = pick(testbed, LINK_FAULTS);
      await sleep(durationMs);
      storeLink.proxy.fault = 'none';
    }
  },
  upstream: (testbed, durationMs) =>
    withUpstreamFault(testbed, durationMs, async upstream => {
      upstream.server.fault = pick(testbed, UPSTREAM_FAULTS);
      await sleep(durationMs);
      upstream.server.fault = 'none';
    }),
  'upstream-link': (testbed, durationMs) =>
    withUpstreamFault(testbed, durationMs, async upstream => {
      upstream.proxy.fault = pick(testbed, LINK_FAULTS);
      await sleep(durationMs);
      upstream.proxy.fault = 'none';
    }),
  'lying-health': (testbed, durationMs) =>
    withUpstreamFault(testbed, durationMs, async upstream => {
      upstream.server.healthy = false;
      await sleep(durationMs);
      upstream.server.healthy = true;
    }),
  'replace-upstream': async testbed => {
    const upstream = pick(testbed, testbed.upstreams);
    await testbed.addUpstream();
    testbed.drain(upstream);
    await sleep(LEAVING_DURATION_MS);
    testbed.remove(upstream);
  },
  configure: testbed => {
    testbed.configure();
    return Promise.resolve();
  },
  'configure-often': async testbed => {
    for (let i = 0; i < 6; i += 1) {
      testbed.configure();
      await sleep(SHORT_DELAY_MS);
    }
  },
};

export const FAULT_KINDS = Object.keys(FAULTS) as readonly FaultKind[];

/** Stops a host with SIGTERM, as an operator does, and starts it again. */
export async function restart(
  testbed: Testbed,
  host: number,
  delayMs: Milliseconds = 0,
): Promise<void> {
  await stopHost(testbed, host);
  if (delayMs > 0) {
    await sleep(delayMs);
  }
  await startIfStopped(testbed, host);
}

/** Sends SIGTERM; resolves once the process has exited. */
export async function stopHost(testbed: Testbed, host: number): Promise<void> {
  const process = testbed.hosts[host];
  if (process?.isRunning) {
    testbed.history.notePlannedStop(
      host,
      spanFromNow(testbed, GRACE_MS + FAULT_RECOVERY_MS),
    );
    process.signal('SIGTERM');
    await process.exited();
  }
}

async function kill(
  testbed: Testbed,
  host: number,
  durationMs: Milliseconds,
): Promise<void> {
  testbed.history.noteHostFault(
    host,
    spanFromNow(testbed, durationMs + FAULT_RECOVERY_MS),
  );
  const process = testbed.hosts[host];
  process?.signal('SIGKILL');
  await process?.exited();
  await sleep(durationMs);
  await startIfStopped(testbed, host);
}

/** Does nothing if an overlapping fault has started the host already. */
async function startIfStopped(testbed: Testbed, host: number): Promise<void> {
  const process: HostProcess | undefined = testbed.hosts[host];
  if (process && !process.isRunning) {
    testbed.history.noteHostFault(
      host,
      spanFromNow(testbed, FAULT_RECOVERY_MS),
    );
    await process.start();
    if (process.endedBeforeListening) {
      await startIfStopped(testbed, host);
    }
  }
}

async function withStoreFault(
  testbed: Testbed,
  durationMs: Milliseconds,
  set: (fault: StoreFault) => void,
): Promise<void> {
  testbed.history.storeFaults.push(
    spanFromNow(testbed, durationMs + FAULT_RECOVERY_MS),
  );
  set(pick(testbed, STORE_FAULTS));
  await sleep(durationMs);
  set('none');
}

async function withUpstreamFault(
  testbed: Testbed,
  durationMs: Milliseconds,
  apply: (upstream: SoakUpstream) => Promise<void>,
): Promise<void> {
  testbed.history.upstreamFaults.push(
    spanFromNow(testbed, durationMs + FAULT_RECOVERY_MS),
  );
  await apply(pick(testbed, testbed.upstreams));
}

function spanFromNow({history}: Testbed, durationMs: Milliseconds): Span {
  const from = history.clock.now();
  return {from, to: from + durationMs};
}

function pickHost({hosts, random}: Testbed): number {
  return Math.floor(random() * hosts.length);
}

/** At least one host, and not all of them. */
export function pickHosts({hosts}: Testbed, random: Random): readonly number[] {
  const indexes = [...hosts.keys()]
    .map(index => ({index, order: random()}))
    .sort((a, b) => a.order - b.order)
    .map(({index}) => index);
  return indexes.slice(0, 1 + Math.floor(random() * (hosts.length - 1)));
}

/** Returns a random element. */
export function pick<T>(
  {random}: Pick<Testbed, 'random'>,
  from: readonly T[],
): T {
  const chosen = from[Math.floor(random() * from.length)];
  if (chosen === undefined) {
    throw new Error('no element to pick from; use more upstreams in this run');
  }
  return chosen;
}
