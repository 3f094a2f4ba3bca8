/**
 * Demonstrates the platform setup in one process: a simulated store, two services
 * with simulated upstreams, and three entry hosts.
 */

import {pino} from 'pino';
import {request} from 'undici';
import {GatewayMetrics} from '../gateway/index.js';
import type {HostPorts} from '../host/types.js';
import {GatewayHost} from '../host/gateway_host.js';
import {
  CONFIGURATION_KEY,
  OPERATOR_TOPIC,
  READINESS_PATH,
  StoreClient,
  UPSTREAM_TOPIC,
} from '../platform/index.js';
import {
  ReportingUpstream,
  StoreServer,
  configurationRecord,
  routesOf,
  upstreamRecord,
} from '../standins/index.js';
import type {Milliseconds} from '../time/index.js';
import {seededRandom, systemClock} from '../time/index.js';
import {sendMixedLoad} from './load.js';

const DATA_CENTRES = ['galway-east', 'galway-west', 'castlebar-a'] as const;
const SERVICES = ['listings', 'swaps'] as const;
const UPSTREAMS_PER_SERVICE = 4;
const WORK_MS: Milliseconds = 10;
const ANY_PORT = {ip: '127.0.0.1', port: 0};
const READY_STATUS = 200;
const READY_POLL_INTERVAL_MS: Milliseconds = 50;

function configuration(): string {
  const routes = SERVICES.flatMap(service =>
    routesOf(service, service, {
      '/': 'non_idempotent',
      '/bundles/': 'idempotent',
      '/history/': 'idempotent',
    }),
  );
  return configurationRecord(1, routes, SERVICES);
}

async function startUpstreams(store: StoreServer): Promise<void> {
  for (const service of SERVICES) {
    for (let i = 0; i < UPSTREAMS_PER_SERVICE; i += 1) {
      const upstream = new ReportingUpstream(`${service}-${i + 1}`);
      upstream.workMs = WORK_MS;
      const dataCentre = DATA_CENTRES[i % DATA_CENTRES.length] ?? '';
      const address = await upstream.listen();
      const record = upstreamRecord(address, service, dataCentre, 'ready');
      store.put(UPSTREAM_TOPIC, upstream.id, record);
    }
  }
}

async function startHost(
  dataCentre: string,
  storePort: number,
): Promise<HostPorts> {
  const store = {ip: '127.0.0.1', port: storePort};
  const host = new GatewayHost({
    settings: {
      host: `entry-${dataCentre}`,
      ip: '127.0.0.1',
      dataCentre,
      regions: new Map(),
      firstStart: true,
      callers: ANY_PORT,
      readiness: ANY_PORT,
      peers: ANY_PORT,
      introducers: [],
      linkMbps: 1_000,
      memoryMb: 350,
      maxDescriptors: 4_096,
      metrics: ANY_PORT,
      store,
      changeBoundMs: 2_000,
      graceMs: 6_000,
      retryRatio: 0.2,
      retryWindowMs: 10_000,
      retrySlack: 20,
      probesPerSecond: 600,
      coldOverage: 1,
      quotaTolerance: {windowMs: 5_000, overage: 0.1, slack: 20},
      coldSlack: 0,
    },
    store: new StoreClient(store),
    clock: systemClock,
    random: seededRandom(1),
    logger: pino({level: 'silent'}),
    metrics: new GatewayMetrics(),
  });
  const ports = await host.start();
  await untilReady(ports.readiness);
  return ports;
}

async function untilReady(port: number): Promise<void> {
  for (;;) {
    const {statusCode, body} = await request(
      `http://127.0.0.1:${port}${READINESS_PATH}`,
    );
    await body.dump();
    if (statusCode === READY_STATUS) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, READY_POLL_INTERVAL_MS));
  }
}

async function main(): Promise<void> {
  const store = new StoreServer();
  const storePort = await store.listen();
  store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, configuration());
  await startUpstreams(store);
  const hosts = await Promise.all(
    DATA_CENTRES.map(dataCentre => startHost(dataCentre, storePort)),
  );
  const addresses = hosts.map(({callers}) => `127.0.0.1:${callers}`);
  process.stdout.write(await sendMixedLoad(addresses));
  process.stdout.write(`\ncalls to the store: ${store.callCount}\n`);
  if (process.argv.includes('--once')) {
    process.exit(0);
  }
  const [first] = hosts;
  process.stdout.write(
    `\nRunning until Ctrl-C. Try:\n  curl -H 'host: listings' http://${addresses[0]}/bundles/7\n` +
      `  curl http://127.0.0.1:${first?.metrics}/metrics\n`,
  );
}

await main();
