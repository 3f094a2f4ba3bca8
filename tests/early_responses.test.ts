import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import {sleep} from '../src/time/index.js';
import {startCutOffHost} from './support/cut_off_host.js';
import {GatewaySystem, type RunningHost, until} from './support/gateway.js';

const PART = 'x'.repeat(100_000);
/** Parts of a body that is passed on while it arrives, ... */
const MANY_PARTS = 30;
/** ... and of one that is read whole before. */
const FEW_PARTS = 6;
const TIMEOUT_MS = 1_000;

let system: GatewaySystem;
let host: RunningHost;
let one: ReportingUpstream;
let socket: Socket | undefined;
let received: string;

beforeEach(() => {
  received = '';
  system = new GatewaySystem();
  system.configure(1, [
    {path_prefix: '/upload/', kind: 'upload', timeout: `${TIMEOUT_MS}ms`},
    {path_prefix: '/order/', kind: 'non_idempotent', timeout: '5s'},
  ]);
});

afterEach(async () => {
  socket?.destroy();
  await system.close();
});

/** Starts an upstream and a host that reaches it, and connects to the host. */
async function startDirect(): Promise<void> {
  one = await system.addUpstream('i-1');
  host = await system.startReadyHost();
  connectToHost();
}

async function startTunneled(): Promise<void> {
  const {server, proxy} = await system.addProxiedUpstream('i-1');
  one = server;
  host = await startCutOffHost(system, [{server, proxy}], ['/order/1']);
  connectToHost();
}

function connectToHost(): void {
  socket = connect(host.ports.callers, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.on('data', chunk => {
    received += chunk.toString('latin1');
  });
}

function statuses(): readonly number[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match =>
    Number(match[1]),
  );
}

function sendHead(path: string, id: string, framing: string): void {
  socket?.write(
    `POST ${path} HTTP/1.1\r\nHost: shop.example\r\n` +
      `Cyclamenlever-Request-Id: ${id}\r\n` +
      `Cyclamenlever-Deadline-Ms: 10000\r\n${framing}\r\n\r\n`,
  );
}

/** Sends parts of a body; `endBody` ends a chunked one. */
async function sendParts(isChunked: boolean, count: number): Promise<void> {
  for (let i = 0; i < count; i += 1) {
    socket?.write(
      isChunked ? `${PART.length.toString(16)}\r\n${PART}\r\n` : PART,
    );
    await sleep(5);
  }
}

function endBody(isChunked: boolean): void {
  if (isChunked) {
    socket?.write('0\r\n\r\n');
  }
}

function framingOf(isChunked: boolean, parts = MANY_PARTS): string {
  return isChunked
    ? 'Transfer-Encoding: chunked'
    : `Content-Length: ${parts * PART.length}`;
}

const CASES = [startDirect, startTunneled].flatMap(start =>
  [200, 413, 500, 503].flatMap(status =>
    [false, true].map(isChunked => ({start, status, isChunked})),
  ),
);

// Guards against a next request that is never read, because its connection is full of the rest.
test.each(CASES)(
  'an upload answered early leaves its connection usable: $start.name, $status, chunked: $isChunked',
  async ({start, status, isChunked}) => {
    await start();
    one.fault = 'refuse-early';
    one.earlyStatus = status;
    sendHead('/upload/1', 'upload-1', framingOf(isChunked));
    await sendParts(isChunked, MANY_PARTS / 2);
    await until(() => received !== '');
    expect(statuses()).toEqual([status]);
    await sendParts(isChunked, MANY_PARTS / 2);
    endBody(isChunked);
    one.fault = 'none';
    sendHead('/order/2', 'order-2', 'Content-Length: 0');
    await until(() => statuses().length === 2 || socket?.destroyed === true);
    expect(statuses()).toHaveLength(2);
  },
);

// Guards against a response to a body that the host holds, which arrives before that is sent.
test.each(CASES)(
  'so does one below 1 MB: $start.name, $status, chunked: $isChunked',
  async ({start, status, isChunked}) => {
    await start();
    one.fault = 'refuse-early';
    one.earlyStatus = status;
    sendHead('/upload/1', 'upload-1', framingOf(isChunked, FEW_PARTS));
    await sendParts(isChunked, FEW_PARTS);
    endBody(isChunked);
    await until(() => received !== '');
    expect(statuses()).toEqual([status]);
    one.fault = 'none';
    sendHead('/order/2', 'order-2', 'Content-Length: 0');
    await until(() => statuses().length === 2 || socket?.destroyed === true);
    expect(statuses()).toHaveLength(2);
  },
);

test('a response arrives while its caller goes on sending a refused body', async () => {
  await startDirect();
  sendHead('/unknown/1', 'upload-1', framingOf(false));
  await sendParts(false, MANY_PARTS);
  sendHead('/order/2', 'order-2', 'Content-Length: 0');
  await until(() => statuses().length === 2 || socket?.destroyed === true);
  expect(statuses()).toEqual([404, 200]);
});

test('a caller that never sends the rest loses its connection', async () => {
  await startDirect();
  one.fault = 'refuse-early';
  sendHead('/upload/1', 'upload-1', framingOf(false));
  await sendParts(false, 15);
  await until(() => statuses().length === 1);
  await until(() => socket?.destroyed === true);
  expect(statuses()).toEqual([503]);
}, 15_000);

// Guards against responses that are cut by the end of the wait for a body behind them.
test('a caller that never sends the rest receives the responses before it', async () => {
  await startDirect();
  one.extraBytes = 900_000;
  one.load = {running: 0, waiting: 0, slots: 100, percent: 100};
  socket?.pause();
  Array.from({length: 12}, (_, at) =>
    sendHead('/order/1', `o-${at}`, 'Content-Length: 0'),
  );
  sendHead('/nowhere', 'u-1', 'Content-Length: 5000');
  await sleep(5_500);
  socket?.resume();
  await until(() => socket?.closed === true);
  expect(received.length).toBeGreaterThan(12 * one.extraBytes);
  expect(statuses()).toHaveLength(13);
});
