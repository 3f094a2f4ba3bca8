/** What each role costs at growing sizes; each returns points to fit. */

import {
  ClaimTable,
  evaluateOrder,
  ordersSchema,
} from '../../decisions/claims/index.js';
import type {Change} from '../../decisions/configuration/index.js';
import {
  ConfigurationStore,
  checkpointSchema,
  keyOf,
} from '../../decisions/configuration/index.js';
import {Dispatcher} from '../../decisions/dispatch/index.js';
import type {AgedStatement} from '../../decisions/membership/index.js';
import {PeerTable, homeHostsOf} from '../../decisions/membership/index.js';
import {FairQueue} from '../../decisions/limits/index.js';
import {DEFAULT_ROUTING} from '../../decisions/routing/index.js';
import {encodeStatement} from '../../control/index.js';
import {ManualClock, seededRandom, systemClock} from '../../time/index.js';
import {measureDecisions} from '../decide/decide.js';
import {usedHeap} from '../heap.js';

export interface Point {
  readonly x: number;
  /** Processor time for one operation, in microseconds. */
  readonly cpuMicros: number;
  /** Memory, or bytes sent where the role says so. */
  readonly bytes: number;
  readonly messages: number;
}

export interface RoleCost {
  readonly role: string;
  /** What x counts. */
  readonly variable: string;
  readonly points: readonly Point[];
}

const MICROS_PER_MS = 1_000;

/** Microseconds for one run, the median of several. */
function medianMicros(runs: number, run: () => void): number {
  const times: number[] = [];
  for (let i = 0; i < runs; i += 1) {
    const startedAt = systemClock.now();
    run();
    times.push((systemClock.now() - startedAt) * MICROS_PER_MS);
  }
  times.sort((a, b) => a - b);
  return times[Math.floor(runs / 2)] ?? NaN;
}

/** Choosing: one request's decisions against the number of upstreams. */
export function dispatchCost(): RoleCost {
  measureDecisions(10);
  const points = [10, 100, 1_000, 4_600].map(x => {
    const {nsPerDecision, bytesPerUpstream} = measureDecisions(x);
    const bytes = bytesPerUpstream * x;
    return {x, cpuMicros: nsPerDecision / 1_000, bytes, messages: 0};
  });
  return {role: 'choosing', variable: 'upstreams of one service', points};
}

/** Memory of all services on one host: 17 upstreams in each. */
export function serviceMemoryCost(): RoleCost {
  const policy = {
    queue: 1_000,
    patientShare: 0.2,
    retryRatio: 0.05,
    hedgeRatio: 0,
    routing: DEFAULT_ROUTING,
  };
  const points = [10, 90, 270].map(x => {
    const before = usedHeap();
    const clock = new ManualClock();
    let kept: Dispatcher[] = [];
    const cpuMicros = medianMicros(3, () => {
      kept = Array.from({length: x}, () => {
        const dispatcher = new Dispatcher(policy, clock, seededRandom(1));
        const upstreams = Array.from({length: 17}, (_, index) => ({
          name: `u${index}`,
          slots: 4,
          distanceMs: 1,
          connectionShare: 12,
        }));
        dispatcher.configure(policy, upstreams);
        return dispatcher;
      });
    });
    const bytes = usedHeap() - before;
    return {x: kept.length, cpuMicros, bytes, messages: 0};
  });
  return {role: 'services', variable: 'services of 17 upstreams', points};
}

/** Waiting: one request in and out of a room that holds x. */
export function queueCost(): RoleCost {
  const points = [10, 100, 1_000, 10_000].map(x => {
    const before = usedHeap();
    const queue = new FairQueue<{
      id: number;
      class: 'prompt' | 'patient';
      tenant: string;
    }>(x + 1, 0.2);
    for (let id = 0; id < x; id += 1) {
      const kind = id % 2 === 0 ? 'prompt' : 'patient';
      queue.push({id, class: kind, tenant: `t${id % 20}`});
    }
    const bytes = usedHeap() - before;
    let id = x;
    const turns = 2_000;
    const total = medianMicros(5, () => {
      for (let i = 0; i < turns; i += 1) {
        queue.push({id, class: 'prompt', tenant: `t${id % 20}`});
        queue.shift();
        id += 1;
      }
    });
    return {x, cpuMicros: total / turns, bytes, messages: 0};
  });
  return {role: 'waiting', variable: 'requests waiting', points};
}

function upstreamChange(index: number, version: number): Change {
  const value = {
    type: 'upstream' as const,
    name: `u${index}`,
    service: `s${index % 270}`,
    at: `10.0.${index % 250}.1:8080`,
    in: `dc${index % 8}`,
    slots: 4,
    connections: 200,
  };
  const key = keyOf(value);
  return {
    kind: 'change',
    id: `c${index}-${version}`,
    author: 'bench',
    note: '',
    reads: [{key, version}],
    writes: [{key, value}],
  };
}

function serviceChange(): Change {
  const writes = Array.from({length: 270}, (_, index) => {
    const value = {
      type: 'service' as const,
      name: `s${index}`,
      probes: 0,
      'probe-bytes': 0,
      homes: 1,
      retries: 5,
      hedges: 0,
      patient: 20,
      queue: 1_000,
      load: '/load',
      shed: 'untrusted' as const,
    };
    return {key: keyOf(value), value};
  });
  const header = {id: 'services', author: 'bench', note: '', reads: []};
  return {kind: 'change', ...header, writes};
}

function replay(changes: number): ConfigurationStore {
  const store = new ConfigurationStore();
  store.apply(serviceChange(), 0);
  for (let i = 0; i < changes; i += 1) {
    const index = i % 4_600;
    const version = store.get(`upstream/s${index % 270}/u${index}`)?.version;
    store.apply(upstreamChange(index, version ?? -1), i + 1);
  }
  return store;
}

/** Configuration: replaying x changes; bytes is the memory of the state. */
export function configurationCost(): RoleCost {
  const points = [100, 1_000, 5_000, 20_000].map(x => {
    const cpuMicros = medianMicros(3, () => replay(x)) / x;
    const before = usedHeap();
    const store = replay(x);
    const bytes = usedHeap() - before;
    return {x: store.next - 1, cpuMicros, bytes, messages: 1};
  });
  return {role: 'configuration', variable: 'changes replayed', points};
}

/** A new host's start from a checkpoint; bytes is the checkpoint's size. */
export function checkpointCost(): RoleCost {
  const points = [100, 1_000, 4_600].map(x => {
    const snapshot = replay(x).snapshot();
    const record = {kind: 'checkpoint', host: 'h', snapshot, seats: []};
    const text = JSON.stringify(record);
    const cpuMicros = medianMicros(5, () => {
      const parsed = checkpointSchema.parse(JSON.parse(text));
      new ConfigurationStore().restore(parsed.snapshot);
    });
    return {x, cpuMicros, bytes: text.length, messages: 1};
  });
  return {role: 'checkpoint', variable: 'upstreams in it', points};
}

/** Claims: reading and judging one batch of x; bytes is the record's size. */
export function claimCost(): RoleCost {
  const points = [1, 10, 100, 500].map(x => {
    let batch = 0;
    const table = new ClaimTable(3_600_000);
    const texts = Array.from({length: 20}, (_, number) =>
      JSON.stringify({
        kind: 'orders',
        claims: Array.from({length: x}, (_unused, index) => ({
          key: `key-${number}-${index}`.padEnd(22, 'x'),
          fingerprint: 'f'.repeat(22),
          nonce: `${number}-${index}`.padEnd(36, 'n'),
        })),
        settlements: [],
      }),
    );
    const cpuMicros = medianMicros(15, () => {
      const text = texts[batch % texts.length] ?? '';
      const record = ordersSchema.parse(JSON.parse(text));
      table.advance(batch, batch);
      table.apply(record, batch);
      record.claims.forEach(one =>
        evaluateOrder(table, one.key, one.fingerprint, one.nonce),
      );
      batch += 1;
    });
    return {x, cpuMicros, bytes: texts[0]?.length ?? 0, messages: 1};
  });
  return {role: 'claims', variable: 'claims in a batch', points};
}

/** Memory of claims within the window. */
export function claimMemoryCost(): RoleCost {
  const points = [1_000, 10_000, 100_000].map(x => {
    const before = usedHeap();
    const table = new ClaimTable(3_600_000);
    table.advance(0, 0);
    const cpuMicros =
      medianMicros(1, () => {
        for (let i = 0; i < x; i += 1) {
          const claim = {
            key: `k${i}`.padEnd(22, 'x'),
            fingerprint: `f${i}`.padEnd(22, 'x'),
            nonce: `n${i}`.padEnd(36, 'x'),
          };
          table.apply({kind: 'orders', claims: [claim], settlements: []}, 0);
        }
      }) / x;
    const bytes = usedHeap() - before;
    return {x: table.size, cpuMicros, bytes, messages: 0};
  });
  return {role: 'claim memory', variable: 'claims in the window', points};
}

function statementOf(index: number, sequence: number): AgedStatement {
  return {
    statement: {
      host: `entry-${index}`,
      incarnation: 1_764_700_000_000 + index,
      sequence,
      dataCentre: `dc${index % 8}`,
      callerAddress: `10.0.${index % 250}.1:8080`,
      controlAddress: `10.0.${index % 250}.1:8081`,
      ready: true,
      leaving: false,
      next: 5_000,
    },
    logAgeMs: 100,
  };
}

/** Membership: one exchange in a fleet of x; bytes is both messages. */
export function membershipCost(): RoleCost {
  const random = seededRandom(1);
  const points = [17, 100, 300, 1_000, 3_000].map(x => {
    const table = new PeerTable('self');
    for (let i = 0; i < x; i += 1) {
      table.merge(statementOf(i, 1), 0, 0);
    }
    let bytes = 0;
    let sequence = 1;
    const cpuMicros = medianMicros(50, () => {
      sequence += 1;
      const digest = table.digest(10, random);
      const text = JSON.stringify(digest.map(encodeStatement));
      bytes = 2 * text.length;
      table.choosePartners('dc1', 10, random);
      for (let i = 0; i < 13; i += 1) {
        table.merge(statementOf((sequence * 13 + i) % x, sequence), 10, 10);
      }
    });
    return {x, cpuMicros, bytes, messages: 2};
  });
  return {role: 'membership', variable: 'entry hosts', points};
}

/** Homes: finding the homes of one service anew after a change. */
export function homeHostCost(): RoleCost {
  const points = [17, 100, 300, 1_000].map(x => {
    const hosts = Array.from({length: x}, (_, index) => ({
      host: `entry-${index}`,
      dataCentre: `dc${index % 8}`,
    }));
    const cpuMicros = medianMicros(50, () => {
      homeHostsOf('swaps', 'dc1', hosts, 1);
    });
    return {x, cpuMicros, bytes: 0, messages: 0};
  });
  return {role: 'homes', variable: 'entry hosts', points};
}
