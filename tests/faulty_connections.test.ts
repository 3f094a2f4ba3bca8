import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import {sleep} from '../src/time/index.js';
import {
  GatewaySystem,
  type RunningHost,
  get,
  until,
} from './support/gateway.js';

const ORDER =
  'POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n' +
  'Cyclamenlever-Request-Id: o-1\r\nCyclamenlever-Deadline-Ms: 20000\r\n\r\n';
/** The host closes the connection behind its refusal. */
const REFUSED = 'TRACE /order/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n';
const GARBAGE = 'this is no request\r\n\r\n';

let system: GatewaySystem;
let host: RunningHost;
let upstream: ReportingUpstream;
let caller: Socket;
let received: string;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(1);
  upstream = await system.addUpstream('i-1');
  host = await system.startReadyHost();
  received = '';
  caller = connect(host.ports.callers, '127.0.0.1');
  caller.on('error', () => undefined);
  caller.on('data', chunk => (received += chunk.toString('latin1')));
});

afterEach(async () => {
  caller.destroy();
  await system.close();
});

function statuses(): readonly string[] {
  return [...received.matchAll(/^HTTP\/1\.1 (\d+)/gm)].map(
    ([, status = '']) => status,
  );
}

test('bytes that are no request are refused', async () => {
  caller.write(GARBAGE);
  await until(() => caller.closed);
  expect(statuses()).toEqual(['400']);
});

// Guards against an error that its caller takes for the response to an order that runs.
test('an order is answered before the bytes behind it are refused', async () => {
  upstream.workMs = 200;
  caller.write(ORDER + GARBAGE);
  await until(() => caller.closed);
  expect(upstream.runs).toHaveLength(1);
  expect(statuses()[0]).toBe('200');
});

// Guards against a response that is cut by what its caller sends meanwhile.
test('a response under way is sent whole before the bytes behind it are refused', async () => {
  upstream.extraBytes = 20_000_000;
  caller.once('data', () => caller.write(GARBAGE));
  caller.write(ORDER);
  await until(() => caller.closed);
  expect(received.length).toBeGreaterThan(upstream.extraBytes);
  expect(statuses()[0]).toBe('200');
});

// Guards against a fault that waits for a response which in turn waits for the faulty body.
test('a request whose body breaks off the protocol is refused at once', async () => {
  caller.write(
    'POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n' +
      'Cyclamenlever-Request-Id: o-1\r\nCyclamenlever-Deadline-Ms: 20000\r\n\r\n' +
      'this is no chunk\r\n',
  );
  await until(() => caller.closed);
  expect(statuses()).toEqual(['400']);
  expect(upstream.runs).toHaveLength(0);
});

// Guards against bodies whose memory is held until the route's timeout.
test('an upload that its caller breaks off ends at once', async () => {
  caller.write(
    'POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5000\r\n' +
      'Cyclamenlever-Request-Id: o-1\r\nCyclamenlever-Deadline-Ms: 20000\r\n\r\n',
  );
  caller.write(Buffer.alloc(1_000));
  await sleep(200);
  const startedAt = performance.now();
  caller.end();
  await until(() => caller.closed);
  expect(performance.now() - startedAt).toBeLessThan(1_000);
});

// Guards against a last response whose tail is lost to a reset, as faulty bytes follow it.
test("faulty bytes don't cut the last response of a connection", async () => {
  upstream.extraBytes = 900_000;
  caller.pause();
  caller.write(ORDER.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'));
  await until(() => upstream.runs.length > 0);
  caller.write(GARBAGE);
  await sleep(400);
  caller.write(GARBAGE);
  await sleep(100);
  caller.resume();
  await until(() => caller.closed);
  expect(received.length).toBeGreaterThan(upstream.extraBytes);
});

// Guards against descriptors that are held for ever by callers that don't close.
test('a connection that was refused is closed though its caller does not close it', async () => {
  const half = connect({
    port: host.ports.callers,
    host: '127.0.0.1',
    allowHalfOpen: true,
  });
  half.on('error', () => undefined);
  half.resume();
  half.write(GARBAGE);
  await sleep(2_000);
  const startedAt = performance.now();
  await host.host.stop();
  half.destroy();
  expect(performance.now() - startedAt).toBeLessThan(1_400);
});

// Guards against upstreams that work on for callers that have left.
test('an order ends when its caller leaves in the middle of its next request', async () => {
  upstream.workMs = 3_000;
  caller.write(ORDER + 'GET /lookup/1 HTTP/1.1\r\nHost: sh');
  await until(() => upstream.runs.length > 0);
  const startedAt = performance.now();
  caller.end();
  await until(() => caller.closed);
  expect(performance.now() - startedAt).toBeLessThan(1_000);
});

// Guards against memory that grows with what a caller sends on a connection that has ended.
test('a caller that sends on after its last response is not read for long', async () => {
  const half = connect({
    port: host.ports.callers,
    host: '127.0.0.1',
    allowHalfOpen: true,
  });
  half.on('error', () => undefined);
  half.resume();
  half.write(REFUSED);
  await new Promise(resolve => half.once('end', resolve));
  half.write(ORDER.repeat(30_000));
  await sleep(2_000);
  half.destroy();
  const {body} = await get(host.ports.metrics, '/metrics');
  const count = /incomplete_deliveries_total{closed_by="host"} (.*)$/m.exec(
    body,
  )?.[1];
  expect(Number(count)).toBeGreaterThan(0);
  expect(Number(count)).toBeLessThan(3_000);
});

// Guards against an order whose response is lost, as Node closes a connection on CONNECT.
test('an order is answered before a CONNECT behind it ends the connection', async () => {
  upstream.workMs = 200;
  caller.write(ORDER);
  await until(() => upstream.runs.length > 0);
  caller.write('CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n');
  await until(() => caller.closed);
  expect(statuses()[0]).toBe('200');
});
