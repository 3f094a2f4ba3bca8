import {connect} from 'node:net';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {ByteBudget} from '../src/decisions/limits/index.js';
import {RouteIndex} from '../src/decisions/routes/index.js';
import {GatewayMetrics} from '../src/gateway/index.js';
import type {ReportingUpstream} from '../src/standins/index.js';
import {sleep} from '../src/time/index.js';
import {
  GatewaySystem,
  type RunningHost,
  get,
  until,
} from './support/gateway.js';
import {LogCapture} from './support/log_capture.js';

const LOOKUP = {path: '/lookup/7', timeLeftMs: 2_000};

const RESPONSE_BYTES = 900_000;

let system: GatewaySystem;
let host: RunningHost;
let log: LogCapture;
let upstream: ReportingUpstream;

beforeEach(async () => {
  log = new LogCapture();
  system = new GatewaySystem(log.logger);
  system.configure(1);
  upstream = await system.addUpstream('i-1');
  host = await system.startReadyHost();
  await until(() => host.host.upstreamCount === 1);
});

afterEach(async () => {
  vi.restoreAllMocks();
  await system.close();
});

// Guards against an error in one request that ends the process, and with it all others.
test.each([
  'countPlacement',
  'countAttempt',
  'countRequest',
  'countProbe',
] as const)('an error in %s ends one request', async method => {
  vi.spyOn(GatewayMetrics.prototype, method).mockImplementationOnce(() => {
    throw new Error('injected');
  });
  const reply = await system.call(host, LOOKUP).catch(() => undefined);
  expect(reply?.status ?? 500).not.toBe(504);
  expect((await system.call(host, LOOKUP)).status).toBe(200);
  expect(log.find('event', 'internal-error')).toBeDefined();
  const {body} = await get(host.ports.metrics, '/metrics');
  expect(body).toMatch(/^cyclamenlever_internal_errors_total 1$/m);
});

// Guards against an internal error that is taken for a caller's disconnect, and leaves it without a response.
test('an error while a body is read is answered', async () => {
  vi.spyOn(ByteBudget.prototype, 'reserve').mockImplementationOnce(() => {
    throw new Error('injected');
  });
  const order = {method: 'POST', path: '/order/7', body: 'a bundle'};
  const reply = await system.call(host, order);
  expect([reply.status, reply.headers['cyclamenlever-outcome']]).toEqual([
    500,
    'not-run',
  ]);
});

test('an error before a request is routed is logged with its id', async () => {
  vi.spyOn(RouteIndex.prototype, 'find').mockImplementationOnce(() => {
    throw new Error('injected');
  });
  const call = {...LOOKUP, id: 'request-of-the-error'};
  await expect(system.call(host, call)).rejects.toThrow();
  const line = log.find('event', 'internal-error');
  expect(line).toMatchObject({request: 'request-of-the-error'});
});

// Guards against responses that are cut by an error in the request behind them.
test('an error in a request leaves the response before it whole', async () => {
  upstream.extraBytes = RESPONSE_BYTES;
  const caller = connect(host.ports.callers, '127.0.0.1');
  let bytes = 0;
  caller.on('error', () => undefined);
  caller.on('data', chunk => (bytes += chunk.length));
  caller.pause();
  const lookup =
    'GET /lookup/7 HTTP/1.1\r\nHost: shop.example\r\n' +
    'Cyclamenlever-Request-Id: r\r\nCyclamenlever-Deadline-Ms: 9000\r\n\r\n';
  caller.write(lookup);
  await until(() => upstream.runs.length > 0);
  vi.spyOn(RouteIndex.prototype, 'find').mockImplementationOnce(() => {
    throw new Error('injected');
  });
  caller.write(lookup);
  await sleep(300);
  caller.write(lookup);
  await sleep(100);
  caller.resume();
  await until(() => caller.closed);
  expect(bytes).toBeGreaterThan(RESPONSE_BYTES);
});
