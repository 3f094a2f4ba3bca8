import {connect} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import type {ReportingUpstream} from '../src/standins/index.js';
import {
  DEFAULT_ROUTES,
  GatewaySystem,
  type RunningHost,
  get,
  until,
} from './support/gateway.js';

let system: GatewaySystem;
let host: RunningHost;
let one: ReportingUpstream;

const ORDER = {method: 'POST', path: '/order/7', body: 'a bundle'};

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(3);
  one = await system.addUpstream('i-1');
  host = await system.startReadyHost();
});

afterEach(() => system.close());

test('forwards a request unchanged and returns its response', async () => {
  const reply = await system.call(host, {...ORDER, path: '/order/7?size=2'});
  expect(reply.status).toBe(200);
  expect(reply.body).toBe('POST /order/7?size=2 a bundle');
  expect(reply.headers['cyclamenlever-server-stamp']).toBe('signed');
});

test('forwards the remaining time and the expected upstream', async () => {
  await system.call(host, {timeLeftMs: 900});
  expect(one.runs[0]?.timeLeftMs).toBeLessThanOrEqual(900);
  expect(one.runs[0]?.headers.get('cyclamenlever-expect-instance')).toBe('i-1');
});

test('responds with 404 where no route matches', async () => {
  expect((await system.call(host, {path: '/other/1'})).status).toBe(404);
  expect((await system.call(host, {host: 'elsewhere.example'})).status).toBe(
    404,
  );
});

test('a host without a configuration responds with 503, not 404', async () => {
  // A host restarts while the store is unavailable. Callers never retry after 404,
  // so it must not claim that the route is missing.
  system.storeServer.fault = 'refuse';
  const fresh = await system.startHost('west', {introducers: []});
  const reply = await system.call(fresh);
  expect(reply.status).toBe(503);
  expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
});

test('a request to a host that is starting waits for the configuration', async () => {
  // All hosts restart after a power loss. The first requests arrive before their
  // host knows the configuration; if refused, callers would retry too late.
  const fresh = await system.startHost('west');
  expect((await system.call(fresh)).status).toBe(200);
});

test('retries an idempotent request elsewhere when its response is lost', async () => {
  one.fault = 'lose-answer';
  const two = await system.addUpstream('i-2');
  two.load = {running: 3, waiting: 0, slots: 6, percent: 200};
  await until(async () => (await system.call(host)).status === 200);
  expect(two.runs.length).toBeGreaterThan(0);
});

test('runs a non-idempotent request once and responds with 502 when its response is lost', async () => {
  // The upstream runs the request and the connection breaks. The host can't know
  // whether it ran, so it must neither retry it nor report it as not run.
  one.fault = 'lose-answer';
  const two = await system.addUpstream('i-2');
  two.load = {running: 3, waiting: 0, slots: 6, percent: 200};
  const reply = await system.call(host, ORDER);
  expect(reply.status).toBe(502);
  expect(one.runs.length + two.runs.length).toBe(1);
});

test('never reports an idempotent request as not run when it may have run', async () => {
  // The upstream runs the request and the response is lost; no other upstream is
  // left for a retry. 503 would promise the caller that nothing has run.
  one.fault = 'lose-answer';
  const reply = await system.call(host);
  expect(one.runs).toHaveLength(1);
  expect(reply.status).toBe(502);
});

test('retries a non-idempotent request that was shed', async () => {
  one.fault = 'shed';
  const two = await system.addUpstream('i-2');
  two.load = {running: 3, waiting: 0, slots: 6, percent: 200};
  await until(async () => (await system.call(host, ORDER)).status === 200);
  expect(one.runs).toHaveLength(0);
});

test('refuses a non-idempotent request as not run when every upstream sheds it', async () => {
  one.fault = 'shed';
  const reply = await system.call(host, ORDER);
  expect(reply.status).toBe(503);
  expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
  expect(one.runs).toHaveLength(0);
});

test.each(['cut', 'cut-unframed', 'wrong-id', 'garbage', 'unsigned'] as const)(
  'never forwards a response that is %s',
  async fault => {
    // An upstream truncates its response or sends one to another request. If
    // forwarded, the caller would take it for a complete response to its own request.
    one.fault = fault;
    const reply = await system.call(host, ORDER);
    expect(reply.status).toBe(502);
  },
);

test('a response without a length is truncated when its connection is reset', async () => {
  // The upstream sends half of a body without a length and resets. Node's parser
  // reports the end of the response before the error, so that half of it can look
  // complete.
  one.fault = 'cut-unframed';
  const replies = await Promise.all(
    Array.from({length: 20}, () => system.call(host, ORDER)),
  );
  expect(replies.map(({status}) => status)).not.toContain(200);
});

test('a response without a length is complete after an orderly close', async () => {
  one.fault = 'unframed';
  const reply = await system.call(host, ORDER);
  expect(reply.status).toBe(200);
  expect(reply.body).toBe('POST /order/7 a bundle');
});

test.each(['none', 'unframed'] as const)(
  'streams a response too large to buffer completely (%s)',
  async fault => {
    one.extraBytes = 3_000_000;
    one.fault = fault;
    const reply = await system.call(host, ORDER);
    expect(reply.body).toHaveLength(
      3_000_000 + 'POST /order/7 a bundle'.length,
    );
  },
);

test.each(['cut', 'cut-unframed'] as const)(
  'a response too large to buffer that is %s does not look complete',
  async fault => {
    // Part of the response has been sent to the caller when the upstream truncates
    // it. An orderly end towards the caller would make it look complete.
    one.extraBytes = 3_000_000;
    one.fault = fault;
    for (let i = 0; i < 20; i += 1) {
      const reply = await system.call(host, ORDER).catch(() => undefined);
      expect(reply?.status).not.toBe(200);
    }
  },
);

test('a second response to a request never reaches the next caller', async () => {
  one.fault = 'answer-twice';
  for (let i = 0; i < 10; i += 1) {
    const reply = await system.call(host, {...ORDER, path: `/order/${i}`});
    expect(reply.body).toBe(`POST /order/${i} a bundle`);
  }
});

test('nothing runs at an address that was reassigned to another upstream', async () => {
  // An upstream ends and its address is reassigned; the registry still names the
  // first. Without the check the wrong service would run the request.
  const taken = await system.addUpstream('i-9');
  await one.close();
  system.register('i-1', taken.address, 'ready');
  await until(async () => (await system.call(host, ORDER)).status === 200);
  expect(
    taken.runs.every(
      run => run.headers.get('cyclamenlever-expect-instance') === 'i-9',
    ),
  ).toBe(true);
});

test('responds with 504 after the route timeout when the upstream hangs', async () => {
  one.fault = 'hang';
  system.configure(4, [
    {path_prefix: '/order/', kind: 'non_idempotent', timeout: '200ms'},
  ]);
  await until(async () => (await system.call(host, ORDER)).status === 504);
});

test('cancels the request at the upstream when the caller disconnects', async () => {
  one.workMs = 60_000;
  const socket = connect(host.ports.callers, '127.0.0.1');
  socket.write(
    'GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n' +
      'Cyclamenlever-Request-Id: leaves\r\nCyclamenlever-Deadline-Ms: 50000\r\n\r\n',
  );
  await until(() => one.runs.length === 1);
  socket.destroy();
  await until(() => one.abandoned === 1);
});

test('forwards a chunked body completely', async () => {
  const socket = connect(host.ports.callers, '127.0.0.1');
  socket.write(
    'POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n' +
      'Cyclamenlever-Request-Id: chunks\r\nCyclamenlever-Deadline-Ms: 5000\r\n' +
      'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n',
  );
  await until(() => one.runs.length === 1);
  socket.destroy();
  expect(one.runs[0]?.body).toBe('abcdefg');
});

test('refuses a body beyond the limit before anything is forwarded', async () => {
  const socket = connect(host.ports.callers, '127.0.0.1');
  let answer = '';
  socket.on('data', chunk => (answer += chunk.toString()));
  socket.write(
    'POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n' +
      'Cyclamenlever-Request-Id: big\r\nContent-Length: 99999999999\r\n\r\n',
  );
  await until(() => answer.includes('\r\n\r\n'));
  socket.destroy();
  expect(answer).toContain('413');
  expect(one.runs).toHaveLength(0);
});

test('refuses a chunked body beyond the limit', async () => {
  // A caller sends more than the operator allows in chunks, without a length that
  // could be checked in advance. Without a limit it would fill the host's memory.
  system.configure(4, DEFAULT_ROUTES, {max_body_bytes: 10});
  await until(() => host.host.version === 4);
  const chunk = '8\r\n12345678\r\n';
  const socket = connect(host.ports.callers, '127.0.0.1');
  let answer = '';
  socket.on('data', bytes => (answer += bytes.toString()));
  socket.write(
    'POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n' +
      `Transfer-Encoding: chunked\r\n\r\n${chunk}${chunk}0\r\n\r\n`,
  );
  await until(() => answer.includes('\r\n\r\n'));
  socket.destroy();
  expect(answer).toContain('413');
  expect(one.runs).toHaveLength(0);
});

test('responds with 408 to headers that never end', async () => {
  // A caller sends its headers a byte at a time. Without a limit each such
  // connection occupies a file descriptor for two minutes.
  system.configure(4, DEFAULT_ROUTES, {header_timeout: '10ms'});
  await until(() => host.host.version === 4);
  const socket = connect(host.ports.callers, '127.0.0.1');
  let answer = '';
  socket.on('data', bytes => (answer += bytes.toString()));
  socket.write('GET /lookup/1 HTTP/1.1\r\nHost: shop');
  await new Promise(resolve => socket.once('close', resolve));
  expect(answer).toContain('408');
});

test('closes a connection that sends nothing without a response', async () => {
  // A caller preconnects. It would take a response on that connection for the
  // response to the request that follows.
  system.configure(4, DEFAULT_ROUTES, {header_timeout: '10ms'});
  await until(() => host.host.version === 4);
  const socket = connect(host.ports.callers, '127.0.0.1');
  let answer = '';
  socket.on('data', bytes => (answer += bytes.toString()));
  await new Promise(resolve => socket.once('close', resolve));
  expect(answer).toBe('');
});

test('a host that stops is unready at once and finishes requests in flight', async () => {
  one.workMs = 400;
  const reply = system.call(host, ORDER);
  await until(() => one.runs.length === 1);
  const stopped = host.host.stop();
  const readiness = await get(host.ports.readiness, '/api/readiness');
  expect(readiness.status).toBe(503);
  expect((await reply).status).toBe(200);
  expect((await reply).headers.connection).toBe('close');
  await stopped;
});

test('never replaces the configuration by an older one', async () => {
  system.configure(9, [{path_prefix: '/new/', kind: 'idempotent'}]);
  await until(
    async () => (await system.call(host, {path: '/new/1'})).status === 200,
  );
  system.configure(5);
  system.configure(10, [
    {path_prefix: '/new/', kind: 'idempotent'},
    {path_prefix: '/newer/', kind: 'idempotent'},
  ]);
  await until(
    async () => (await system.call(host, {path: '/newer/1'})).status === 200,
  );
  expect((await system.call(host, {path: '/lookup/1'})).status).toBe(404);
});

test('sends nothing more to an upstream that is draining', async () => {
  const two = await system.addUpstream('i-2');
  await until(async () => {
    await system.call(host);
    return two.runs.length > 0;
  });
  system.register('i-1', one.address, 'draining');
  system.configure(4, [{path_prefix: '/marker/', kind: 'idempotent'}]);
  await until(
    async () => (await system.call(host, {path: '/marker/1'})).status === 200,
  );
  await until(async () => {
    const before = one.runs.length;
    for (let i = 0; i < 10; i += 1) {
      await system.call(host, {path: '/marker/1'});
    }
    return one.runs.length === before;
  });
});

test('metrics count requests by class and outcome', async () => {
  await system.call(host);
  const {body} = await get(host.ports.metrics, '/metrics');
  expect(body).toContain(
    'cyclamenlever_requests_total{class="rank-1",outcome="answered-200"} 1',
  );
  expect(body).toContain('cyclamenlever_request_seconds_bucket');
  expect(body).toContain('cyclamenlever_host{figure="ready"} 1');
});

test('refuses a target that is too long instead of forwarding it', async () => {
  const path = `/lookup/${'x'.repeat(9_000)}`;
  expect((await system.call(host, {path})).status).toBe(414);
  expect(one.runs).toHaveLength(0);
});
