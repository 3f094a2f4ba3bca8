import {Writable} from 'node:stream';
import {pino} from 'pino';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {explain, parseLogLines} from '../src/explain/index.js';
import {OPERATOR_TOPIC, decodeConfiguration} from '../src/platform/index.js';
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

// Guards against keys in logs, metrics and the output of `explain`.
test('no key appears in logs, metrics and explanations of a run', async () => {
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
  const lines = parseLogLines(log);
  const explanations = [
    'served',
    'unknown',
    'malformed',
    'lost',
    'rotated',
  ].map(id => explain(id, lines) ?? '');
  expect(explanations.every(text => text !== '')).toBe(true);
  const metrics = await Promise.all(
    hosts.map(({ports}) => get(ports.metrics, '/metrics')),
  );
  expect(metrics[0]?.body).toContain('customer="maps"');
  expect(log).toContain('"customer":"maps"');
  const all = [log, ...explanations, ...metrics.map(({body}) => body)];
  expect(all.filter(text => text.includes(SECRET))).toEqual([]);
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
