import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {PassThrough, Writable} from 'node:stream';
import {Cli} from 'clipanion';
import {pino} from 'pino';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {AccountCommand} from '../src/cli/account_command.js';
import {CustomersCommand} from '../src/cli/customers_command.js';
import {ExplainCommand} from '../src/cli/explain_command.js';
import {OPERATOR_TOPIC, decodeConfiguration} from '../src/platform/index.js';
import {CRASH_TOPIC} from '../src/quarantine/index.js';
import type {ReportingUpstream} from '../src/standins/index.js';
import {configurationRecord} from '../src/standins/index.js';
import {
  DEFAULT_ROUTES,
  GatewaySystem,
  get,
  type RunningHost,
  until,
} from './support/gateway.js';

/** Part of each key in this file. */
const SECRET = 'secret';
const MAPS = {name: 'maps', keys: ['maps-secret', 'old-maps-secret']};
const COURTS = {name: 'courts', keys: ['courts-secret']};

let system: GatewaySystem;
let hosts: readonly RunningHost[];
let upstream: ReportingUpstream;
let log: string;

beforeEach(async () => {
  log = '';
  const sink = new Writable({
    write(chunk: Buffer, _encoding, done): void {
      log += chunk.toString();
      done();
    },
  });
  system = new GatewaySystem(pino({base: undefined, level: 'trace'}, sink));
  system.configure(3, DEFAULT_ROUTES, {}, {}, [MAPS, COURTS]);
  upstream = await system.addUpstream('i-1');
  hosts = [await system.startReadyHost(), await system.startReadyHost()];
});

afterEach(() => system.close());

function storeConfiguration(value: string): void {
  system.storeServer.put(OPERATOR_TOPIC, 'config', value);
}

async function callAll(): Promise<void> {
  const order = {method: 'POST', path: '/order/1', body: 'one'};
  for (const host of hosts) {
    await system.call(host, {key: 'maps-secret', id: 'served'});
    await system.call(host, {key: 'unknown-secret', id: 'unknown'});
    await system.call(host, {key: 'not a valid secret', id: 'malformed'});
    await system.call(host, {path: '/nowhere', key: 'maps-secret'});
    upstream.fault = 'lose-answer';
    await system.call(host, {...order, key: 'courts-secret', id: 'lost'});
    upstream.fault = 'none';
  }
}

/** Output of commands that read the log. */
async function runCommands(
  commands: readonly (readonly string[])[],
): Promise<readonly string[]> {
  const folder = mkdtempSync(join(tmpdir(), 'hidden-keys-'));
  const file = join(folder, 'entry.log');
  writeFileSync(file, log);
  const cli = new Cli({binaryName: 'cyclamenlever'});
  cli.register(AccountCommand);
  cli.register(CustomersCommand);
  cli.register(ExplainCommand);
  const outputs: string[] = [];
  for (const command of commands) {
    const out = new PassThrough();
    const streams = {stdout: out, stderr: out};
    expect(await cli.run([...command, file], streams)).toBe(0);
    outputs.push(String(out.read()));
  }
  rmSync(folder, {recursive: true});
  return outputs;
}

// Guards against keys in logs, metrics and the output of the tool.
test('no key appears in logs, metrics and outputs about a run', async () => {
  await callAll();
  const rotated = {...MAPS, keys: ['maps-secret', 'new-maps-secret']};
  system.configure(4, DEFAULT_ROUTES, {}, {}, [rotated, COURTS]);
  await until(() => hosts.every(({host}) => host.version === 4));
  for (const host of hosts) {
    await system.call(host, {key: 'old-maps-secret', id: 'rotated'});
  }
  const thief = {name: 'thief', keys: ['courts-secret']};
  system.configure(5, DEFAULT_ROUTES, {}, {}, [COURTS, thief]);
  await until(() => log.includes('give a key to one tenant only'));
  storeConfiguration('{"version":"r6","resources":[a-secret]}');
  await until(() => log.includes('write valid JSON'));
  await until(() => log.includes('broken-send'));
  const explained = ['served', 'unknown', 'malformed', 'lost', 'rotated'];
  const outputs = await runCommands([
    ['account'],
    ['customers'],
    ['customers', '--json'],
    ...explained.map(id => ['explain', id]),
  ]);
  expect(outputs[1]).toMatch(/^maps +2 +2 /m);
  expect(outputs[1]).toContain('refused: unknown key');
  const metrics = await Promise.all(
    hosts.map(({ports}) => get(ports.metrics, '/metrics')),
  );
  expect(metrics[0]?.body).toContain('customer="maps"');
  expect(log).toContain('"customer":"maps"');
  const all = [log, ...outputs, ...metrics.map(({body}) => body)];
  expect(all.filter(text => text.includes(SECRET))).toEqual([]);
});

// Guards against keys in the crash records that hosts keep in the store.
test('no key appears in the stored record of a request that crashes upstreams', async () => {
  const crash = {path: '/lookup/crash', key: 'maps-secret'};
  for (const id of ['i-2', 'i-3', 'i-4', 'i-5']) {
    await system.addUpstream(id);
  }
  system.upstreams.forEach(one => (one.crashTargets = new Set([crash.path])));
  const {topics} = system.storeServer;
  await until(async () => {
    await Promise.all(hosts.map(host => system.call(host, crash)));
    return topics.end(CRASH_TOPIC) > 0;
  });
  const records = JSON.stringify(topics.newest(CRASH_TOPIC, ''));
  expect(records).toContain('i-');
  expect(records + log).not.toContain(SECRET);
});

// Guards against keys in the error about a record: JSON.parse quotes its input.
test.each([
  ['cut off', (text: string) => text.slice(0, -30)],
  ['with an unquoted word', (text: string) => text.replace('["k', '[k')],
  ['with a key that is no text', (text: string) => text.replace('"k1-', '1,"')],
])('the error about a configuration %s names no key', (_name, change) => {
  const customer = {name: 'a', keys: ['k1-secret', 'k2-secret']};
  const record = configurationRecord(4, [], ['s'], {}, {}, [customer]);
  const error = decodeConfiguration(change(record))._unsafeUnwrapErr();
  expect(error.message).not.toContain(SECRET);
});
