import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import {sleep} from '../src/time/index.js';
import {GatewaySystem, type RunningHost, until} from './support/gateway.js';

const REQUESTS = 300;
const BODY = 'a bundle';
/** Requests of one connection that are served at the same time. */
const MAX_REQUESTS = 16;

let system: GatewaySystem;
let host: RunningHost;
let one: ReportingUpstream;
let socket: Socket;
let received: string;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(1, [
    {path_prefix: '/lookup/', kind: 'idempotent', timeout: '30s'},
    {path_prefix: '/order/', kind: 'non_idempotent', timeout: '30s'},
  ]);
  one = await system.addUpstream('i-1');
  one.load = {running: 0, waiting: 0, slots: 1_000, percent: 100};
  host = await system.startReadyHost();
  await until(() => host.host.upstreamCount === 1);
  received = '';
  socket = connect(host.ports.callers, '127.0.0.1');
  socket.on('data', chunk => (received += chunk.toString('latin1')));
  socket.on('error', () => undefined);
});

afterEach(async () => {
  socket.destroy();
  await system.close();
});

function requestOf(
  path: string,
  id: string,
  body = '',
  deadlineMs = 30_000,
): string {
  return [
    `${body === '' ? 'GET' : 'POST'} ${path} HTTP/1.1`,
    'Host: shop.example',
    `Cyclamenlever-Request-Id: ${id}`,
    `Cyclamenlever-Deadline-Ms: ${deadlineMs}`,
    ...(body === '' ? [] : [`Content-Length: ${body.length}`]),
    '',
    body,
  ].join('\r\n');
}

function matches(pattern: RegExp): readonly string[] {
  return [...received.matchAll(pattern)].map(match => match[1] ?? '');
}

// Guards against a limit that takes something from callers who send requests ahead and read.
test.each(['/lookup/', '/order/'])(
  '300 requests sent ahead are all answered, in order: %s',
  async path => {
    const body = path === '/order/' ? BODY : '';
    const ids = Array.from({length: REQUESTS}, (_, at) => `ahead-${at}`);
    socket.write(ids.map(id => requestOf(`${path}${id}`, id, body)).join(''));
    await until(
      () =>
        matches(/HTTP\/1\.1 (\d+)/g).length === REQUESTS || socket.destroyed,
    );
    expect(matches(/Request-Id: (\S+)/g)).toEqual(ids);
    expect(new Set(matches(/HTTP\/1\.1 (\d+)/g))).toEqual(new Set(['200']));
    const targets = one.runs.map(({target}) => target);
    expect(targets).toHaveLength(REQUESTS);
    expect(new Set(targets)).toEqual(new Set(ids.map(id => `${path}${id}`)));
  },
);

// Guards against memory for all requests that arrive together.
test('requests sent ahead are served a few at a time', async () => {
  one.workMs = 30;
  let most = 0;
  one.subscribeToArrivals(() => {
    most = Math.max(most, one.openCount);
  });
  const ids = Array.from({length: REQUESTS}, (_, at) => `ahead-${at}`);
  socket.write(ids.map(id => requestOf('/lookup/1', id)).join(''));
  await until(() => matches(/HTTP\/1\.1 (\d+)/g).length === REQUESTS);
  // A slice of the input may hold a few more; probes use connections as well.
  expect(most).toBeLessThan(3 * MAX_REQUESTS);
});

// Guards against upstreams that are given time which passed while the request waited.
test('the wait behind other requests counts against the deadline', async () => {
  one.workMs = 400;
  const ahead = Array.from({length: 2 * MAX_REQUESTS}, (_, at) =>
    requestOf('/lookup/1', `ahead-${at}`),
  );
  socket.write(ahead.join('') + requestOf('/lookup/late', 'late', '', 5_000));
  await until(() => one.runs.some(({id}) => id === 'late'));
  const late = one.runs.find(({id}) => id === 'late');
  expect(late?.timeLeftMs).toBeLessThan(5_000 - one.workMs);
});

// Guards against a caller that leaves while its requests wait, and would be served all the same.
test('requests that wait are not sent once their caller has left', async () => {
  one.workMs = 200;
  const ids = Array.from({length: REQUESTS}, (_, at) => `ahead-${at}`);
  socket.write(ids.map(id => requestOf('/lookup/1', id)).join(''));
  await until(() => one.runs.length > 0);
  socket.resetAndDestroy();
  await sleep(3 * one.workMs);
  expect(one.runs.length).toBeLessThan(2 * MAX_REQUESTS);
});

// Guards against a limit on the number of chunks, which would refuse a body within the limits.
test('a body in chunks of one byte is served', async () => {
  const bytes = 50_000;
  socket.write(
    requestOf('/order/1', 'tiny').replace('GET', 'POST').slice(0, -2) +
      'Transfer-Encoding: chunked\r\n\r\n' +
      `${'1\r\nx\r\n'.repeat(bytes)}0\r\n\r\n`,
  );
  await until(() => matches(/HTTP\/1\.1 (\d+)/g).length === 1);
  expect(matches(/HTTP\/1\.1 (\d+)/g)).toEqual(['200']);
  expect(one.runs.map(({body}) => body.length)).toEqual([bytes]);
});
