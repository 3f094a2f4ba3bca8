/**
 * What a hop through the daemon costs: `npm run --silent bench:path -- --json`.
 * Every server runs on a thread of its own; rounds alternate between direct,
 * forwarder and daemon, so that drift of the machine hits all alike.
 */

import {once} from 'node:events';
import {parseArgs} from 'node:util';
import {Worker} from 'node:worker_threads';
import type {ListeningMessage, LoadSpec, LoadReport, Role} from './types.js';

const {values: options} = parseArgs({
  options: {
    json: {type: 'boolean', default: false},
    rounds: {type: 'string', default: '5'},
    seconds: {type: 'string', default: '2'},
    rate: {type: 'string', default: '0'},
  },
});

const UPSTREAM_COUNT = 2;
const LOAD_THREADS = 2;
const CONNECTIONS = 32;
const MICROS_PER_MS = 1_000;
const TARGETS = ['direct', 'forwarder', 'daemon'] as const;
type Target = (typeof TARGETS)[number];

interface TargetFigures {
  readonly rps: number;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly addedP999Ms: number;
}

function startThread(role: Role): Worker {
  return new Worker(new URL('./thread.js', import.meta.url), {
    workerData: role,
  });
}

async function nextMessage<T>(worker: Worker): Promise<T> {
  const [message] = (await once(worker, 'message')) as [T];
  return message;
}

async function startServer(role: Role): Promise<number> {
  const {port} = await nextMessage<ListeningMessage>(startThread(role));
  return port;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

/** Asks load threads for one measurement each. */
async function measure(
  loaders: readonly Worker[],
  order: LoadSpec,
): Promise<readonly LoadReport[]> {
  return Promise.all(
    loaders.map(loader => {
      const report = nextMessage<LoadReport>(loader);
      loader.postMessage(order);
      return report;
    }),
  );
}

async function main(): Promise<void> {
  const upstreams = await Promise.all(
    Array.from({length: UPSTREAM_COUNT}, () => startServer({role: 'upstream'})),
  );
  const ports: Readonly<Record<Target, number>> = {
    direct: upstreams[0] ?? 0,
    forwarder: await startServer({role: 'forwarder', upstreams}),
    daemon: await startServer({role: 'daemon', upstreams}),
  };
  const loaders = Array.from({length: LOAD_THREADS}, () =>
    startThread({role: 'load'}),
  );
  const seconds = Number(options.seconds);
  const rps: Record<Target, number[]> = {direct: [], forwarder: [], daemon: []};
  const rounds = Number(options.rounds);
  for (let round = 0; round <= rounds; round += 1) {
    for (const target of TARGETS) {
      const reports = await measure(loaders, {
        port: ports[target],
        seconds,
        connections: CONNECTIONS,
        rate: 0,
      });
      const failed = reports.reduce((sum, one) => sum + one.failed, 0);
      if (failed > 0) {
        throw new Error(`${failed} requests failed at ${target}`);
      }
      const answered = reports.reduce((sum, one) => sum + one.answered, 0);
      // The first round warms the code up and does not count.
      if (round > 0) {
        rps[target].push(answered / seconds);
      }
    }
  }
  const rate = Number(options.rate) || Math.round(median(rps.daemon) / 2);
  const latencies: Record<Target, LoadReport[]> = {
    direct: [],
    forwarder: [],
    daemon: [],
  };
  for (let round = 0; round < rounds; round += 1) {
    for (const target of TARGETS) {
      const [report] = await measure(loaders.slice(0, 1), {
        port: ports[target],
        seconds,
        connections: CONNECTIONS,
        rate,
      });
      if (report) {
        latencies[target].push(report);
      }
    }
  }
  const figures = (target: Target): TargetFigures => {
    const added = (read: (report: LoadReport) => number): number =>
      (median(latencies[target].map(read)) -
        median(latencies.direct.map(read))) /
      MICROS_PER_MS;
    return {
      rps: Math.round(median(rps[target])),
      addedP50Ms: added(report => report.p50),
      addedP99Ms: added(report => report.p99),
      addedP999Ms: added(report => report.p999),
    };
  };
  const result = {
    direct: figures('direct'),
    forwarder: figures('forwarder'),
    daemon: figures('daemon'),
    rate,
  };
  process.stdout.write(
    options.json
      ? `${JSON.stringify(result)}\n`
      : `${JSON.stringify(result, null, 2)}\n`,
  );
  process.exit(0);
}

await main();
