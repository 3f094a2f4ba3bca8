/**
 * Demonstrates the control plane setup in one process: a simulated platform (log and
 * host list), two services with simulated upstreams, and three entry hosts.
 */

import {pino} from 'pino';
import {EntryHost} from '../daemon/entry_host.js';
import {Metrics} from '../metrics/index.js';
import {HttpLogService} from '../log_service/index.js';
import {readSettings} from '../settings/index.js';
import {
  LaggingHostList,
  MemoryLog,
  PlatformServer,
  UpstreamServer,
} from '../standins/index.js';
import {seededRandom, systemClock} from '../time/index.js';
import {ControlConnector} from '../control/index.js';
import {sendMixedLoad} from './load.js';

const OPERATOR_KEY = 'quickstart-operator-key';
const FLEET_KEY = 'quickstart-fleet-key';
const DATA_CENTRES = ['galway-east', 'galway-west', 'castlebar-a'] as const;
const UPSTREAMS_PER_SERVICE = 4;

interface RunningHost {
  readonly host: EntryHost;
  readonly caller: number;
  readonly control: number;
}

async function startUpstreams(service: string): Promise<string[]> {
  const lines: string[] = [];
  for (let i = 0; i < UPSTREAMS_PER_SERVICE; i += 1) {
    const name = `${service}-${i + 1}`;
    const server = new UpstreamServer({
      name,
      slots: 6,
      serviceMs: 10,
      random: seededRandom(i + 1),
    });
    const port = await server.listen();
    const dataCentre = DATA_CENTRES[i % DATA_CENTRES.length];
    lines.push(
      `create upstream ${name} of ${service} at 127.0.0.1:${port} in ${dataCentre} slots 6 connections 200;`,
    );
  }
  return lines;
}

async function declaration(): Promise<string> {
  return [
    'create service listings probes 5 retries 10;',
    'create rule browse of listings method GET path /bundles/* class prompt kind repeatable deadline 2s;',
    'create rule book of listings method POST path /collections class prompt kind order deadline 3s;',
    ...(await startUpstreams('listings')),
    'create service swaps retries 10;',
    'create rule history of swaps method GET path /history/* class patient kind repeatable deadline 20s;',
    'create rule confirm of swaps method POST path /swaps class prompt kind order deadline 3s;',
    ...(await startUpstreams('swaps')),
  ].join('\n');
}

async function startHost(
  index: number,
  platformUrl: string,
  seeds: readonly string[],
): Promise<RunningHost> {
  const settings = readSettings(
    [
      ['--host-id', `entry-${index + 1}`],
      ['--data-centre', DATA_CENTRES[index] ?? DATA_CENTRES[0]],
      ['--caller-address', '127.0.0.1:0'],
      ['--control-address', '127.0.0.1:0'],
      ['--admin-address', '127.0.0.1:0'],
      ['--log-url', platformUrl],
      ['--host-list-url', platformUrl],
      ['--peers', seeds.join(',')],
      ['--fleet-key', FLEET_KEY],
      ['--operator-key', OPERATOR_KEY],
      ['--drain-wait-ms', '100'],
      ['--log-level', 'warn'],
    ].flat(),
    {},
  );
  if (settings.isErr()) {
    throw new Error(settings.error.message);
  }
  const platform = new HttpLogService(platformUrl, platformUrl);
  const host = new EntryHost({
    settings: settings.value,
    log: platform,
    hostList: platform,
    clock: systemClock,
    random: seededRandom(index + 100),
    logger: pino({level: settings.value['log-level']}),
    metrics: new Metrics(),
    incarnation: Date.now(),
  });
  const ports = await host.start();
  return {host, ...ports};
}

async function waitUntilReady(hosts: readonly RunningHost[]): Promise<void> {
  while (!hosts.every(({host}) => host.isReady)) {
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}

async function main(): Promise<void> {
  const log = new MemoryLog(systemClock, seededRandom(1));
  const hostList = new LaggingHostList(systemClock);
  const platform = new PlatformServer(log, hostList);
  const platformUrl = `http://127.0.0.1:${await platform.listen()}`;
  const hosts: RunningHost[] = [];
  for (let i = 0; i < DATA_CENTRES.length; i += 1) {
    const seeds = hosts.map(({control}) => `127.0.0.1:${control}`);
    hosts.push(await startHost(i, platformUrl, seeds));
  }
  await waitUntilReady(hosts);
  const connector = new ControlConnector();
  const control = `127.0.0.1:${hosts[0]?.control}`;
  const client = connector.client({
    address: control,
    key: OPERATOR_KEY,
    timeoutMs: 10_000,
  });
  const report = await client.change.mutate({
    text: await declaration(),
    author: 'quickstart',
    note: 'first declaration',
    declaration: true,
  });
  if (report.kind !== 'judged' || report.verdict.kind !== 'accepted') {
    throw new Error(`the declaration failed: ${JSON.stringify(report)}`);
  }
  const callers = hosts.map(({caller}) => `127.0.0.1:${caller}`);
  process.stdout.write(await sendMixedLoad(callers));
  process.stdout.write(usageHints(callers[0] ?? '', control));
  if (process.argv.includes('--once')) {
    await Promise.all(hosts.map(({host}) => host.stop()));
    process.exit(0);
  }
}

function usageHints(caller: string, control: string): string {
  return [
    '',
    'Running until Ctrl-C. Try:',
    `  curl -i -H 'Host: listings' http://${caller}/bundles/1`,
    `  curl -i -H 'Host: swaps' -X POST -d trade http://${caller}/swaps`,
    `  export CYCLAMENLEVER_HOST=${control} CYCLAMENLEVER_OPERATOR_KEY=${OPERATOR_KEY}`,
    '  node dist/cli/main.js show upstreams of listings',
    "  node dist/cli/main.js run 'drain upstream listings-1 of listings'",
    '  node dist/cli/main.js history',
    '',
  ].join('\n');
}

await main();
