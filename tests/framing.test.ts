import {once} from 'node:events';
import type {AddressInfo, Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import {buffer} from 'node:stream/consumers';
import fc from 'fast-check';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {sleep} from '../src/time/index.js';
import {
  FrameDecoder,
  FrameEncoder,
  TunnelSocket,
} from '../src/tunnels/index.js';

const IP = '127.0.0.1';

let server: Server;

beforeEach(async () => {
  server = createServer();
  server.listen(0, IP);
  await once(server, 'listening');
});

afterEach(() => server.close());

async function encode(pieces: readonly Uint8Array[]): Promise<Buffer> {
  const encoder = new FrameEncoder();
  pieces.forEach(piece => encoder.write(piece));
  encoder.end();
  return buffer(encoder);
}

function decode(received: readonly Buffer[]): {
  bytes: Buffer;
  hasEnded: boolean;
} {
  const decoder = new FrameDecoder();
  const pieces = received.flatMap(piece => decoder.decode(piece));
  return {bytes: Buffer.concat(pieces), hasEnded: decoder.hasEnded};
}

/** Both ends of a connection that carries a tunnel. */
async function openTunnel(): Promise<{tunnel: TunnelSocket; peer: Socket}> {
  const socket = connect((server.address() as AddressInfo).port, IP);
  const [[peer]] = (await Promise.all([
    once(server, 'connection'),
    once(socket, 'connect'),
  ])) as [[Socket], unknown];
  peer.on('error', () => undefined);
  const tunnel = new TunnelSocket(socket, new FrameDecoder(), error => {
    throw error;
  });
  return {tunnel, peer};
}

test('bytes arrive as they were, however they are cut', async () => {
  const piece = fc.uint8Array({minLength: 1, maxLength: 40});
  await fc.assert(
    fc.asyncProperty(
      fc.array(piece, {maxLength: 8}),
      fc.nat(),
      async (pieces, cut) => {
        const encoded = await encode(pieces);
        const at = cut % (encoded.length + 1);
        const result = decode([encoded.subarray(0, at), encoded.subarray(at)]);
        expect(result.bytes).toEqual(Buffer.concat(pieces));
        expect(result.hasEnded).toBe(true);
      },
    ),
    {seed: 78, numRuns: 300},
  );
});

// Guards against a part of a response that passes for the whole, wherever the host in between ends.
test('no part of a tunnel passes for the whole', async () => {
  const encoded = await encode([Buffer.from('a bundle'), Buffer.from('!')]);
  for (let end = 0; end < encoded.length; end += 1) {
    expect(decode([encoded.subarray(0, end)]).hasEnded).toBe(false);
  }
});

test('a tunnel ends when its upstream has ended', async () => {
  const {tunnel, peer} = await openTunnel();
  peer.end(await encode([Buffer.from('a bundle')]));
  expect((await buffer(tunnel)).toString()).toBe('a bundle');
  expect(tunnel.errored).toBeNull();
});

test('a tunnel whose host has ended in order is broken', async () => {
  const {tunnel, peer} = await openTunnel();
  const whole = await encode([Buffer.from('a bundle')]);
  peer.end(whole.subarray(0, whole.length - 1));
  await expect(buffer(tunnel)).rejects.toThrow('the tunnel ended');
});

// Guards against a reset behind the end, which says that the request had not arrived whole.
test('a tunnel that is reset behind its end is broken', async () => {
  const {tunnel, peer} = await openTunnel();
  tunnel.pause();
  const whole = await encode([Buffer.from('a bundle')]);
  peer.write(whole, () => peer.resetAndDestroy());
  await once(peer, 'close');
  // Node reports the reset as an end: only a write fails.
  tunnel.prependOnceListener('end', () => tunnel.write('\r\n'));
  const failed = once(tunnel, 'error');
  tunnel.resume();
  await failed;
});

// Guards against an upstream that a slow caller makes the host hold in memory.
test('a tunnel that is not read makes the other side wait', async () => {
  const {tunnel, peer} = await openTunnel();
  const piece = Buffer.alloc(64_000, 'x');
  const whole = await encode(Array.from({length: 500}, () => piece));
  peer.end(whole);
  await sleep(200);
  expect(tunnel.readableLength).toBeGreaterThan(0);
  expect(tunnel.readableLength).toBeLessThan(1_000_000);
  expect((await buffer(tunnel)).length).toBe(500 * piece.length);
});

test('a tunnel that is reset resets its connection', async () => {
  const {tunnel, peer} = await openTunnel();
  peer.resume();
  const failed = once(peer, 'error');
  tunnel.resetAndDestroy();
  expect(await failed).toMatchObject([{code: 'ECONNRESET'}]);
});
