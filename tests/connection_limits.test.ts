import {once} from 'node:events';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import type {ClosingReason} from '../src/servers/index.js';
import {GracefulServer, listen} from '../src/servers/index.js';
import {sleep} from '../src/time/index.js';
import {until} from './support/gateway.js';

const GET = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const MAX_CONNECTIONS = 3;
const IDLE_MS = 600;
/** More than the system buffers for a connection. */
const LARGE = Buffer.alloc(32 * 1024 * 1024, 'x');

const closers: (() => void)[] = [];
let closed: ClosingReason[] = [];

afterEach(() => {
  closers.splice(0).forEach(close => close());
  closed = [];
});

function fail(error: unknown): void {
  throw error;
}

/** Starts a server; requests are answered with the body, or never if it is undefined. */
function startServer(body: Buffer | undefined): Promise<number> {
  const server: GracefulServer = new GracefulServer(
    {keepAliveTimeout: IDLE_MS},
    fail,
    ({request, response}) => {
      server.noteRequest(request, response);
      if (body) {
        response.end(body);
      }
    },
    {
      maxConnections: MAX_CONNECTIONS,
      maxBytes: 2 * LARGE.length,
      onExcess: reason => closed.push(reason),
    },
  );
  closers.push(() => {
    server.close();
    server.closeAllConnections();
  });
  return listen(server, '127.0.0.1', 0);
}

async function open(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  closers.push(() => socket.destroy());
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

// Guards against idle connections that keep others from being accepted.
test('one connection too many takes the place of an idle one', async () => {
  const port = await startServer(Buffer.from('x'));
  const first = await open(port);
  first.resume();
  for (let i = 0; i < MAX_CONNECTIONS; i += 1) {
    const socket = await open(port);
    socket.write(GET);
    await once(socket, 'data');
  }
  await until(() => first.destroyed);
  expect(closed).toEqual(['descriptors']);
});

// Guards against a request that is lost to a new connection.
test('requests under way keep their connections', async () => {
  const port = await startServer(undefined);
  const busy: Socket[] = [];
  for (let i = 0; i < MAX_CONNECTIONS; i += 1) {
    const socket = await open(port);
    socket.write(GET);
    busy.push(socket);
  }
  await sleep(50);
  const last = await open(port);
  last.resume();
  await once(last, 'close');
  expect(busy.map(({destroyed}) => destroyed)).not.toContain(true);
  expect(closed).toEqual(['descriptors']);
});

// Guards against responses that wait for ever for a caller that doesn't read.
test('a caller that reads nothing of its response loses its connection', async () => {
  const port = await startServer(LARGE);
  const socket = await open(port);
  socket.pause();
  socket.write(GET);
  await until(() => closed.length > 0);
  expect(closed).toEqual(['unread']);
});

// Guards against a limit that a slow caller meets.
test('a caller that reads slowly receives its whole response', async () => {
  const port = await startServer(LARGE);
  const socket = await open(port);
  let received = 0;
  socket.on('data', chunk => {
    received += chunk.length;
    socket.pause();
    setTimeout(() => socket.resume(), received < LARGE.length / 8 ? 10 : 0);
  });
  socket.write(GET);
  await until(() => received >= LARGE.length || socket.destroyed);
  expect(received).toBeGreaterThanOrEqual(LARGE.length);
  expect(closed).toEqual([]);
});
