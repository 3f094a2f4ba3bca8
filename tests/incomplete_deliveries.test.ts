import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import {
  GatewaySystem,
  type RunningHost,
  get,
  until,
} from './support/gateway.js';
import {LogCapture} from './support/log_capture.js';

/** Larger than what the connection's buffers take; streamed by the host. */
const STREAMED_BYTES = 20_000_000;
/** Buffered by the host; several fill the buffers of the connection. */
const BUFFERED_BYTES = 900_000;
const REQUESTS = 12;

let log: LogCapture;
let system: GatewaySystem;
let host: RunningHost;
let upstream: ReportingUpstream;
let caller: Socket;

beforeEach(async () => {
  log = new LogCapture();
  system = new GatewaySystem(log.logger);
  system.configure(1, [
    {path_prefix: '/lookup/', kind: 'idempotent', timeout: '30s'},
  ]);
  upstream = await system.addUpstream('i-1');
  host = await system.startReadyHost();
  caller = connect(host.ports.callers, '127.0.0.1');
  caller.on('error', () => undefined);
});

afterEach(async () => {
  caller.destroy();
  await system.close();
});

function sendLookups(count = 1): void {
  const lookup =
    'GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n' +
    'Cyclamenlever-Request-Id: r-1\r\nCyclamenlever-Deadline-Ms: 20000\r\n\r\n';
  caller.write(lookup.repeat(count));
}

async function incompleteDelivery(): Promise<unknown> {
  await until(() => log.find('event', 'incomplete-delivery') !== undefined);
  return log.find('event', 'incomplete-delivery');
}

async function counted(closedBy: string): Promise<string | undefined> {
  const {body} = await get(host.ports.metrics, '/metrics');
  const name = 'cyclamenlever_incomplete_deliveries_total';
  return new RegExp(`^${name}{closed_by="${closedBy}"} (.*)$`, 'm').exec(
    body,
  )?.[1];
}

test('a response that the host cuts off is logged and counted', async () => {
  upstream.extraBytes = STREAMED_BYTES;
  caller.once('data', () => caller.pause());
  sendLookups();
  await until(() => caller.isPaused());
  void host.host.stopNow();
  expect(await incompleteDelivery()).toMatchObject({
    request: 'r-1',
    method: 'GET',
    target: '/lookup/1',
    status: 200,
    closedBy: 'host',
    phase: 'running',
  });
});

// Guards against cut responses that count as sent, as Node emits `finish` for them.
test('a response that waits to be sent when the host cuts it off is logged', async () => {
  upstream.extraBytes = BUFFERED_BYTES;
  upstream.load = {running: 0, waiting: 0, slots: 100, percent: 100};
  caller.pause();
  sendLookups(REQUESTS);
  await until(() => log.findAll('outcome', 'answered-200').length === REQUESTS);
  void host.host.stopNow();
  expect(await incompleteDelivery()).toMatchObject({
    status: 200,
    wasWritten: true,
    closedBy: 'host',
  });
});

test('a response that its caller leaves is logged and counted', async () => {
  upstream.extraBytes = STREAMED_BYTES;
  caller.once('data', () => caller.resetAndDestroy());
  sendLookups();
  expect(await incompleteDelivery()).toMatchObject({
    request: 'r-1',
    status: 200,
    closedBy: 'caller',
  });
  expect(await counted('caller')).toBe('1');
});

test('a request whose caller leaves before any response is logged', async () => {
  upstream.workMs = 5_000;
  sendLookups();
  await until(() => upstream.runs.length > 0);
  caller.end();
  expect(await incompleteDelivery()).toMatchObject({
    request: 'r-1',
    wasWritten: false,
    closedBy: 'caller',
  });
});

test('a response that is received whole is not logged as incomplete', async () => {
  let received = '';
  caller.on('data', chunk => (received += chunk.toString('latin1')));
  sendLookups();
  await until(() => received.includes('\r\n\r\n'));
  caller.end();
  await until(() => caller.closed);
  await host.host.stop();
  expect(log.find('event', 'incomplete-delivery')).toBeUndefined();
});
