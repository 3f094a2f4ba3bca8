import type {Server} from 'node:net';
import {createServer} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {StoreClient} from '../src/platform/index.js';

let server: Server;
let client: StoreClient;

afterEach(() => {
  client.close();
  server.close();
});

/** Starts a client of a store that sends these bytes to each call, and closes. */
async function startClient(response: string): Promise<void> {
  server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(response, 'latin1'));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
  client = new StoreClient({ip: '127.0.0.1', port});
}

// Guards against a write that was done and counts as refused, because of bytes that are no answer.
test.each([
  'HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n',
  'HTTP/1.1 020 Odd\r\nContent-Length: 0\r\n\r\n',
  'HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n',
  'HTTP/1.1 503 Odd\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n',
  'HTTP/1.1 503 Odd\r\nX-Odd: \x01\r\nContent-Length: 0\r\n\r\n',
  'HTTP/1.1 503 Odd\r\nContent-Length: 10\r\n\r\n',
  'HTTP/1.1 200 OK\r\n\r\n{"offset": 12',
])('a write has an unknown outcome after %j', async response => {
  await startClient(response);
  const result = await client.put('keyed.topic', 'a', 'b');
  expect(result.isErr() && result.error.kind).toBe('unknown');
});

test('a write is refused by a status of the store', async () => {
  await startClient('HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n');
  const result = await client.put('keyed.topic', 'a', 'b');
  expect(result.isErr() && result.error.kind).toBe('refused');
});
