import {connect, createServer, type Server, type Socket} from 'node:net';
import {once} from 'node:events';
import {request} from 'undici';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {expectedDigest} from '../src/standins/index.js';
import {TestSystem, type TestHost, until} from './support/system.js';

let system: TestSystem;
let host: TestHost;
let rawServers: Server[];

beforeEach(async () => {
  system = new TestSystem();
  rawServers = [];
  host = await system.startHost('entry-1');
  await system.applyCommands(
    host,
    `create service swaps retries 100 shed trusted
     create rule history of swaps method GET path /history/* kind repeatable retries 2 deadline 2s
     create rule confirm of swaps method POST path /swaps kind order deadline 500ms`,
  );
});

afterEach(async () => {
  await system.close();
  rawServers.forEach(server => server.close());
});

async function addUpstream(name: string, address?: string): Promise<void> {
  const at = address ?? (await system.startUpstream(name));
  await system.applyCommands(
    host,
    `create upstream ${name} of swaps at ${at} in galway-east`,
  );
}

/** An upstream that speaks in bytes. */
async function addRawUpstream(serve: (socket: Socket) => void): Promise<void> {
  const server = createServer(serve);
  rawServers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  const port = typeof address === 'object' ? address?.port : 0;
  await addUpstream('raw', `127.0.0.1:${port}`);
}

function order(id = 'o1'): ReturnType<typeof request> {
  return request(`http://${host.caller}/swaps`, {
    method: 'POST',
    headers: {host: 'swaps', 'x-request-id': id},
    body: 'swap',
  });
}

function lookup(): ReturnType<typeof request> {
  return request(`http://${host.caller}/history/1`, {
    headers: {host: 'swaps'},
  });
}

/** Sends bytes and returns all that comes back. */
async function sendRaw(address: string, text: string): Promise<string> {
  const port = Number(address.split(':')[1]);
  const socket = connect(port, '127.0.0.1');
  let answer = '';
  socket.on('data', chunk => (answer += chunk.toString()));
  socket.end(text);
  await once(socket, 'close');
  return answer;
}

function runs(): number {
  return system.upstreams.reduce((sum, one) => sum + one.runs.length, 0);
}

test('an order cut off after running is unknown and not repeated', async () => {
  // A family confirms a swap; the server records it and dies before it
  // answers. Sending it elsewhere would count the swap twice, so the caller
  // is told that it may have run.
  await addUpstream('one');
  await addUpstream('two');
  system.upstreams.forEach(one => (one.fault = 'reset-after-run'));
  const answer = await order();
  expect(answer.statusCode).toBe(502);
  expect(answer.headers['cyclamenlever-outcome']).toBe('unknown');
  await answer.body.dump();
  expect(runs()).toBe(1);
});

test('a lookup cut off is answered by another upstream', async () => {
  await addUpstream('one');
  await addUpstream('two');
  const [first] = system.upstreams;
  if (first) {
    first.fault = 'reset-after-run';
  }
  for (let i = 0; i < 6; i += 1) {
    const answer = await lookup();
    expect(answer.statusCode).toBe(200);
    expect(await answer.body.text()).toBe(
      expectedDigest('GET', '/history/1', ''),
    );
  }
});

test('a truncated answer does not end as if complete', async () => {
  // The server dies halfway through an answer. The head has gone to the
  // caller by then, so only cutting its connection tells it that half is
  // missing.
  await addUpstream('one');
  const [first] = system.upstreams;
  if (first) {
    first.fault = 'truncate';
  }
  await expect(order().then(answer => answer.body.text())).rejects.toThrow();
  expect(runs()).toBe(1);
});

test('a trusted refusal moves an order on, and it runs once', async () => {
  await addUpstream('one');
  await addUpstream('two');
  const [first] = system.upstreams;
  if (first) {
    first.fault = 'shed';
  }
  for (let i = 0; i < 4; i += 1) {
    const answer = await order(`o${i}`);
    expect(answer.statusCode).toBe(200);
    await answer.body.dump();
  }
  expect(runs()).toBe(4);
});

test('an untrusted refusal is handed on and not retried', async () => {
  await system.applyCommands(host, 'change service swaps shed untrusted');
  await addUpstream('one');
  await addUpstream('two');
  system.upstreams.forEach(one => (one.fault = 'shed'));
  const answer = await order();
  expect(answer.statusCode).toBe(503);
  expect(await answer.body.text()).toBe('shed');
});

test('an order that no server took is not run', async () => {
  await addUpstream('gone', '127.0.0.1:9');
  const answer = await order();
  expect(answer.statusCode).toBe(503);
  expect(answer.headers['cyclamenlever-outcome']).toBe('not-run');
  await answer.body.dump();
});

test('an order past its deadline is unknown at once', async () => {
  await addUpstream('one');
  const [first] = system.upstreams;
  if (first) {
    first.fault = 'stall';
  }
  const answer = await order();
  expect(answer.statusCode).toBe(504);
  expect(answer.headers['cyclamenlever-outcome']).toBe('unknown');
  await answer.body.dump();
});

test('an order on a stale pooled connection is sent once', async () => {
  // The server keeps the connection, reads the second order on it, and closes
  // without an answer. A client library that takes this for an idle close
  // repeats the order by itself on a new connection.
  const seen: string[] = [];
  await addRawUpstream(socket => {
    let served = 0;
    socket.on('data', chunk => {
      seen.push(chunk.toString());
      served += 1;
      if (served === 1) {
        socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
      } else {
        socket.destroy();
      }
    });
    socket.on('error', () => undefined);
  });
  expect(await (await order('first')).body.text()).toBe('ok');
  const answer = await order('second');
  expect(answer.statusCode).toBe(502);
  expect(answer.headers['cyclamenlever-outcome']).toBe('unknown');
  await answer.body.dump();
  const orders = seen.join('').match(/x-request-id: second/g) ?? [];
  expect(orders).toHaveLength(1);
});

test('an answer without a length is not taken for whole', async () => {
  await addRawUpstream(socket => {
    socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\n\r\nhalf'));
    socket.on('error', () => undefined);
  });
  const answer = await order();
  expect(answer.statusCode).toBe(502);
  expect(answer.headers['cyclamenlever-outcome']).toBe('unknown');
  await answer.body.dump();
});

test('a caller that leaves cancels its order, which is not repeated', async () => {
  await addUpstream('one');
  await addUpstream('two');
  system.upstreams.forEach(one => (one.fault = 'stall'));
  const controller = new AbortController();
  const sent = request(`http://${host.caller}/swaps`, {
    method: 'POST',
    headers: {host: 'swaps'},
    body: 'swap',
    signal: controller.signal,
  });
  await until(() => runs() === 1);
  controller.abort();
  await expect(sent).rejects.toThrow();
  await until(() => host.host.describe().requests[0]?.pending === 0);
  expect(runs()).toBe(1);
});

const INVALID_REQUESTS: readonly (readonly [string, string, string])[] = [
  [
    'both framings',
    'POST /swaps HTTP/1.1\r\nhost: swaps\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
    '400',
  ],
  [
    'two lengths',
    'POST /swaps HTTP/1.1\r\nhost: swaps\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcd',
    '400',
  ],
  [
    'two hosts',
    'GET /history/1 HTTP/1.1\r\nhost: swaps\r\nhost: listings\r\n\r\n',
    '400',
  ],
  [
    'another coding',
    'POST /swaps HTTP/1.1\r\nhost: swaps\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
    '400',
  ],
  ['a bare line feed', 'GET /history/1 HTTP/1.1\nhost: swaps\n\n', '400'],
  [
    'a huge header',
    `GET /history/1 HTTP/1.1\r\nhost: swaps\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
    '431',
  ],
  [
    'a long URL',
    `GET /history/${'y'.repeat(9_000)} HTTP/1.1\r\nhost: swaps\r\n\r\n`,
    '414',
  ],
  [
    'too many calls deep',
    'GET /history/1 HTTP/1.1\r\nhost: swaps\r\ncyclamenlever-depth: 19\r\n\r\n',
    '508',
  ],
];

test.each(INVALID_REQUESTS)(
  '%s is refused, nothing forwarded',
  async (_, text, status) => {
    await addUpstream('one');
    const answer = await sendRaw(host.caller, text);
    expect(answer).toMatch(new RegExp(`^HTTP/1.1 ${status}`));
    expect(answer.toLowerCase()).toContain('cyclamenlever-outcome: not-run');
    expect(runs()).toBe(0);
  },
);

test('hop headers stop here and the deadline goes on reduced', async () => {
  let seen = '';
  await addRawUpstream(socket => {
    socket.on('data', chunk => {
      seen += chunk.toString();
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
    });
  });
  await sendRaw(
    host.caller,
    'GET /history/1 HTTP/1.1\r\nhost: swaps\r\nconnection: close, x-hop\r\nx-hop: 1\r\nx-kept: 2\r\ncyclamenlever-timeout-ms: 900\r\ncyclamenlever-depth: 3\r\n\r\n',
  );
  expect(seen).not.toContain('x-hop');
  expect(seen).toContain('x-kept: 2');
  expect(seen).toContain('cyclamenlever-depth: 4');
  const left = Number(/cyclamenlever-timeout-ms: (\d+)/.exec(seen)?.[1]);
  expect(left).toBeLessThanOrEqual(900);
  expect(left).toBeGreaterThan(0);
});
