import type {AddressInfo, Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {ByteBudget} from '../src/decisions/limits/index.js';
import {ErrorBoundary} from '../src/lifecycle/index.js';
import {TurnQueue} from '../src/servers/index.js';
import {ReportingUpstream} from '../src/standins/index.js';
import {ManualClock} from '../src/time/index.js';
import type {AttemptResult} from '../src/upstreams/index.js';
import {ConnectionPool, sendAttempt} from '../src/upstreams/index.js';
import {until} from './support/gateway.js';

const WORK_MS = 30;
const REQUESTS = 10;
const RETRIAL_MS = 1_000;
const PEER = '10.0.0.2:7';

let clock: ManualClock;
let upstream: ReportingUpstream;
let upstreamPort: number;
/** The direct path to the upstream. */
let path: Server;
let port: number;
let pool: ConnectionPool;
/** Connections opened through another host. */
let detours: Socket[];

beforeEach(async () => {
  clock = new ManualClock(1_000);
  upstream = new ReportingUpstream('i-1');
  upstream.workMs = WORK_MS;
  upstreamPort = Number((await upstream.listen()).split(':')[1]);
  port = await openPath(0);
  detours = [];
  const paths = {tunnel: () => undefined, detour: openDetour};
  pool = new ConnectionPool({ip: '127.0.0.1', port}, throwError, clock, paths);
});

afterEach(async () => {
  pool.closeAll();
  path.close();
  await upstream.close();
});

function openPath(atPort: number): Promise<number> {
  path = createServer(client => {
    const destination = connect(upstreamPort, '127.0.0.1');
    client.pipe(destination).pipe(client);
    client.on('error', () => destination.destroy());
    destination.on('error', () => client.destroy());
  });
  return new Promise(resolve => {
    path.listen(atPort, '127.0.0.1', () =>
      resolve((path.address() as AddressInfo).port),
    );
  });
}

function openDetour(): Promise<{socket: Socket; peer: string}> {
  const socket = connect(upstreamPort, '127.0.0.1');
  detours.push(socket);
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.once('connect', () => resolve({socket, peer: PEER}));
  });
}

function throwError(error: unknown): void {
  throw error;
}

function send(): Promise<AttemptResult> {
  const connection = pool.acquire();
  return sendAttempt({
    connection,
    request: {
      id: 'one',
      method: 'POST',
      target: '/order/1',
      headers: ['host', 'listings', 'cyclamenlever-request-id', 'one'],
      body: {kind: 'held', bytes: Buffer.from('a bundle')},
    },
    upstreamName: 'i-1',
    timeLeftMs: 5_000,
    responseMemory: new ByteBudget(Infinity),
    turns: new TurnQueue(new ErrorBoundary(throwError)),
    onError: throwError,
    observer: {
      onHeaders: () => undefined,
      onSettled: reusable => {
        if (reusable) {
          pool.release(connection);
        } else {
          connection.close();
        }
      },
    },
  }).result;
}

/** Sends a request again, once, if it certainly was not run. */
async function sendTwice(): Promise<string> {
  const {kind} = await send();
  return kind === 'not-run' ? (await send()).kind : kind;
}

/** Sends requests at the same time; returns the kinds of their results. */
function sendAll(count: number): Promise<readonly string[]> {
  return Promise.all(Array.from({length: count}, sendTwice));
}

/** Opens two connections, after which the path refuses others. */
async function refuseNew(): Promise<void> {
  await sendAll(2);
  path.close();
}

// Guards against requests that are refused while open connections are busy.
test('requests at the same time are served while new connections are refused', async () => {
  await refuseNew();
  const results = await sendAll(REQUESTS);
  expect(results).toEqual(Array.from({length: REQUESTS}, () => 'answered'));
  expect(upstream.runs).toHaveLength(2 + REQUESTS);
});

test('later ones are not refused first', async () => {
  await refuseNew();
  await sendAll(REQUESTS);
  const results = await Promise.all(Array.from({length: REQUESTS}, send));
  expect(results.filter(({kind}) => kind !== 'answered')).toEqual([]);
});

test('a connection through another host is used again', async () => {
  await refuseNew();
  await sendAll(REQUESTS);
  const opened = detours.length;
  expect(opened).toBeGreaterThan(0);
  await sendAll(REQUESTS);
  expect(detours).toHaveLength(opened);
});

// Guards against a path that counts as refusing for good.
test('the direct path is tried again and used once it is open', async () => {
  await refuseNew();
  await sendAll(REQUESTS);
  expect(detours.length).toBeGreaterThan(0);
  await openPath(port);
  clock.advance(RETRIAL_MS);
  await sendAll(REQUESTS + 1);
  const opened = detours.length;
  await sendAll(REQUESTS + 1);
  await sendAll(2 * REQUESTS);
  expect(detours).toHaveLength(opened);
});

// Guards against a burst of requests that all try a path which is still closed.
test('one connection at a time tries the direct path again', async () => {
  await refuseNew();
  await sendAll(REQUESTS);
  clock.advance(RETRIAL_MS);
  const results = await Promise.all(Array.from({length: 2 * REQUESTS}, send));
  expect(results.filter(({kind}) => kind === 'not-run')).toHaveLength(1);
});

// Guards against detours to upstreams whose process has ended.
test('an upstream that has ended is not sought through other hosts', async () => {
  await sendAll(2);
  await upstream.close();
  path.close();
  await until(() => pool.openCount === 0);
  await sendAll(REQUESTS);
  expect(detours).toEqual([]);
});
