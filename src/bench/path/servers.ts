/** The servers that the benchmark compares. */

import {createServer} from 'node:http';
import {pino} from 'pino';
import {Pool} from 'undici';
import {EntryHost} from '../../daemon/entry_host.js';
import {Metrics} from '../../metrics/index.js';
import {listen} from '../../servers/index.js';
import {readSettings} from '../../settings/index.js';
import {MemoryLog} from '../../standins/index.js';
import {seededRandom, systemClock} from '../../time/index.js';
import {ok} from 'neverthrow';
import {ControlConnector} from '../../control/index.js';

const LOCAL = '127.0.0.1';
const KEY = 'bench-key-0123456789';
const BODY = Buffer.from('x'.repeat(512));

/** Answers at once. */
export function startUpstream(): Promise<number> {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, {'content-length': BODY.length});
    response.end(BODY);
  });
  server.keepAliveTimeout = 60_000;
  return listen(server, LOCAL, 0);
}

/** Only Node's http and undici: the lower bound for the cost of a hop. */
export function startForwarder(upstreams: readonly number[]): Promise<number> {
  const pools = upstreams.map(
    port => new Pool(`http://${LOCAL}:${port}`, {connections: 64}),
  );
  let turn = 0;
  const server = createServer((request, response) => {
    turn += 1;
    const pool = pools[turn % pools.length];
    const path = request.url ?? '/';
    const {method = 'GET'} = request;
    void pool
      ?.stream(
        {
          path,
          method: method as 'GET',
          headers: request.headers,
          body: method === 'GET' ? null : request,
        },
        ({statusCode, headers}) => response.writeHead(statusCode, headers),
      )
      .catch(() => response.destroy());
  });
  return listen(server, LOCAL, 0);
}

/** A complete entry host with its own in-memory log. */
export async function startDaemon(
  upstreams: readonly number[],
): Promise<number> {
  const settings = readSettings(
    [
      ['--host-id', 'bench', '--data-centre', 'here'],
      ['--caller-address', `${LOCAL}:0`, '--control-address', `${LOCAL}:0`],
      ['--admin-address', `${LOCAL}:0`, '--log-level', 'warn'],
      [
        '--log-url',
        `http://${LOCAL}:1`,
        '--host-list-url',
        `http://${LOCAL}:1`,
      ],
      ['--fleet-key', `${KEY}-fleet`, '--operator-key', KEY],
    ].flat(),
    {},
  )._unsafeUnwrap();
  const host = new EntryHost({
    settings,
    log: new MemoryLog(systemClock, seededRandom(1)),
    hostList: {list: () => Promise.resolve(ok([]))},
    clock: systemClock,
    random: seededRandom(2),
    logger: pino({level: 'warn'}),
    metrics: new Metrics(),
    incarnation: 1,
  });
  const ports = await host.start();
  while (!host.isReady) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  const client = new ControlConnector().client({
    address: `${LOCAL}:${ports.control}`,
    key: KEY,
    timeoutMs: 10_000,
  });
  const lines = upstreams.map(
    (port, index) =>
      `create upstream u${index} of bench at ${LOCAL}:${port} in here slots 64 connections 2000;`,
  );
  await client.change.mutate({
    text: `create service bench; create rule all of bench path /* kind repeatable; ${lines.join(' ')}`,
    author: 'bench',
    note: '',
    declaration: true,
  });
  return ports.caller;
}
