import {afterEach, beforeEach, expect, test} from 'vitest';
import {request} from 'node:http';
import {
  ConfigurationView,
  RepeatLimiter,
} from '../src/decisions/fleet/index.js';
import type {Milliseconds} from '../src/time/index.js';
import {sleep, systemClock} from '../src/time/index.js';
import type {RunningHost} from './support/gateway.js';
import {GatewaySystem, until} from './support/gateway.js';
import {LogCapture} from './support/log_capture.js';

const NEW_ROUTE = {path_prefix: '/new/', kind: 'idempotent'} as const;

let system: GatewaySystem;
let log: LogCapture;

beforeEach(async () => {
  log = new LogCapture();
  system = new GatewaySystem(log.logger);
  system.configure(1);
  await system.addUpstream('i-1');
});

afterEach(() => system.close());

// Guards against a 404 of which nobody can tell who read the view that it relies on, and when.
test('a refusal names the reader of the configuration and what it knows', async () => {
  await system.startReadyHost('east');
  const follower = await system.startReadyHost('west');
  await until(() => system.hosts.filter(one => one.host.isReader).length === 1);
  system.configure(2, [NEW_ROUTE]);
  const answers = async (path: string, status: number): Promise<boolean> =>
    (await system.call(follower, {path, id: path})).status === status;
  await until(() => answers('/new/1', 200));
  expect(await answers('/lookup/2', 404)).toBe(true);
  const reader = system.hosts.find(({host}) => host.isReader);
  expect(log.find('request', '/lookup/2')).toMatchObject({
    outcome: 'unknown-route',
    host: 'shop.example',
    miss: {kind: 'route-removed', version: 2},
    version: 2,
    configuration: {
      reader: `127.0.0.1:${reader?.ports.peers}`,
      position: 1,
      readMsAgo: expect.any(Number) as unknown,
    },
  });
});

// Guards against a 404 by a host that is told of a newer version and lacks it.
test.each([
  ['the same record', {end: 13, position: 12, version: 7}, false],
  [
    'an older version that was written later',
    {end: 15, position: 14, version: 6},
    false,
  ],
  ['a newer version', {end: 15, position: 14, version: 9}, true],
  ['a later record that can’t be decoded', {end: 15, position: 14}, true],
  [
    'the same record, which others can’t decode',
    {end: 13, position: 12},
    false,
  ],
  ['later records of other keys', {end: 15, position: 12, version: 7}, false],
])('a host with version 7 that is told of %s', (_, newest, isBehind) => {
  const view = new ConfigurationView(systemClock);
  view.noteInForce({reader: undefined, position: 12, ageMs: 0});
  view.noteNewest(newest);
  expect(view.isBehind(7)).toBe(isBehind);
  view.noteNewest({end: 11, position: 10, version: 12});
  expect(view.newest).toEqual(newest);
});

/** Lines that a host sends to a follower within some time. */
function linesFrom(
  {ports}: RunningHost,
  ms: Milliseconds,
): Promise<readonly Readonly<Record<string, unknown>>[]> {
  return new Promise((resolve, reject) => {
    const path = '/updates?from=127.0.0.1:9&data-centre=east';
    const stream = request({port: ports.peers, path}, response => {
      let text = '';
      response.on('data', (chunk: Buffer) => (text += chunk.toString()));
      setTimeout(() => {
        stream.destroy();
        const lines = text.split('\n').slice(0, -1);
        resolve(lines.map(line => JSON.parse(line) as Record<string, unknown>));
      }, ms);
    });
    stream.on('error', reject).end();
  });
}

// Guards against bytes between data centres that tell nothing new.
test('heartbeats name the newest configuration at first, at a change and each second', async () => {
  const host = await system.startReadyHost();
  await until(() => host.host.isReader);
  const received = linesFrom(host, 1_900);
  await sleep(1_500);
  system.configure(2, [NEW_ROUTE]);
  const heartbeats = (await received).filter(({kind}) => kind === 'alive');
  const telling = heartbeats.filter(({configuration}) => configuration);
  expect(heartbeats.length).toBeGreaterThan(7);
  expect(telling.length).toBeLessThanOrEqual(4);
  expect(telling[0]).toBe(heartbeats[0]);
  expect(telling.at(-1)).toMatchObject({configuration: {version: 2}});
});

test('a value is repeated once in a few messages and sent at a change', () => {
  const limiter = new RepeatLimiter<string>(3);
  const values = ['a', 'a', 'a', 'a', 'b', 'b', 'a', 'a', 'a', 'a'];
  const sent = values.filter(value => limiter.shouldSend(value));
  expect(sent).toEqual(['a', 'a', 'b', 'a', 'a']);
});
