import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer as createHttpServer} from 'node:http';
import type {Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {RelayClient} from '../src/fleet/relay_client.js';
import {ErrorBoundary} from '../src/lifecycle/index.js';
import {GracefulServer, closeWhenIdle, listen} from '../src/servers/index.js';
import {sleep, systemClock} from '../src/time/index.js';
import {ConnectionPool} from '../src/upstreams/index.js';
import {blockAfter} from './support/blocking.js';
import {until} from './support/gateway.js';

const IDLE_MS = 100;
/** After which a follower leaves its parent. */
const SILENCE_MS = 700;
const GET = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach(close => close()));

function fail(error: unknown): void {
  throw error;
}

async function openSocket(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  closers.push(() => socket.destroy());
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

// Guards against unread requests that the idle timeout of their connection discards.
test('a request that has arrived is read before an idle timeout', async () => {
  const server = new GracefulServer(
    {keepAliveTimeout: IDLE_MS},
    fail,
    ({request, response}) => {
      server.noteRequest(request, response);
      response.end(request.url);
    },
  );
  closers.push(() => server.closeAllConnections());
  const port = await listen(server, '127.0.0.1', 0);
  const first = await openSocket(port);
  first.write(GET);
  await once(first, 'data');
  const idleSince = performance.now();
  // Some releases of Node add a second to the timeout.
  await once(first, 'close');
  const timeoutMs = performance.now() - idleSince;
  const socket = await openSocket(port);
  let received = '';
  socket.on('data', chunk => (received += chunk.toString()));
  socket.write(GET);
  await once(socket, 'data');
  await blockAfter(timeoutMs - 50, 100, () => {
    received = '';
    socket.write(GET);
  });
  await once(socket, 'close');
  expect(received).toContain('200 OK');
});

// Guards against tunnels that end although bytes have arrived.
test('bytes that have arrived are read before a connection counts as idle', async () => {
  const server = createServer();
  closers.push(() => server.close());
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as {port: number};
  const accepted = once(server, 'connection') as Promise<[Socket]>;
  const sender = await openSocket(port);
  const [receiver] = await accepted;
  closeWhenIdle(receiver, IDLE_MS, new ErrorBoundary(fail));
  let received = '';
  receiver.on('data', chunk => (received += chunk.toString()));
  await blockAfter(IDLE_MS - 50, 100, () => sender.write('late'));
  await once(receiver, 'close');
  expect(received).toBe('late');
});

// Guards against followers that leave a parent whose heartbeats wait unread.
test('a follower reads what has arrived before a parent counts as silent', async () => {
  const server = createHttpServer();
  closers.push(() => server.closeAllConnections());
  const port = await listen(server, '127.0.0.1', 0);
  const followed = once(server, 'request') as Promise<
    [unknown, ServerResponse]
  >;
  let updates = 0;
  const ends: string[] = [];
  const client = new RelayClient(
    `127.0.0.1:${port}`,
    {address: '127.0.0.1:1', dataCentre: 'east'},
    [],
    {} as never,
    Infinity,
    {
      onUpdate: () => (updates += 1),
      onEnd: (_fault, reason) => ends.push(reason),
      onError: fail,
    },
  );
  closers.push(() => client.close());
  const [, response] = await followed;
  const sendHeartbeat = (): boolean => response.write('{"kind":"alive"}\n');
  sendHeartbeat();
  await until(() => updates === 1);
  await blockAfter(SILENCE_MS - 50, 100, sendHeartbeat);
  await sleep(50);
  expect(ends).toEqual([]);
  expect(updates).toBe(2);
});

// Guards against requests on a connection that its upstream has ended, which may be orders.
test('a connection whose end has been read carries no further request', async () => {
  const server = createServer({allowHalfOpen: true});
  closers.push(() => server.close());
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as {port: number};
  const pool = new ConnectionPool({ip: '127.0.0.1', port}, fail, systemClock);
  closers.push(() => pool.closeAll());
  const accepted = once(server, 'connection') as Promise<[Socket]>;
  const connection = pool.acquire();
  const head = {method: 'GET', path: '/', headers: ['Host', 'a']};
  const outgoing = connection.startRequest(head);
  const responded = once(outgoing, 'response') as Promise<[IncomingMessage]>;
  outgoing.end();
  const [upstream] = await accepted;
  await once(upstream, 'data');
  upstream.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
  const [response] = await responded;
  await once(response.resume(), 'close');
  const next = once(server, 'connection') as Promise<[Socket]>;
  const witness = await openSocket(port);
  const [signal] = await next;
  // Without earlier events, the two that follow are read in the order of their arrival.
  await sleep(20);
  pool.release(connection);
  // Arrives right after the end, and is read in the same turn of the event loop.
  upstream.once('finish', () => signal.write('now'));
  upstream.end();
  const needsNewConnection = await new Promise(resolve => {
    witness.once('data', () => resolve(pool.needsNewConnection));
  });
  expect(needsNewConnection).toBe(true);
});
