/** Clients that keep as much as they can waiting in a host. */

import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {sleep} from '../../src/time/index.js';

const QUIET_MS = 1_000;
const POLL_MS = 50;
const UPLOAD_BYTES = 900_000;
const CHUNK_BYTES = 60_000;
const TINY_CHUNKS = 200_000;
const PIECE_BYTES = 200;
const REQUESTS_AHEAD = 300;

/** What one client sends; the parts are written one after the other. */
export type Script = (client: number) => Iterable<Buffer | string>;

function head(
  method: string,
  path: string,
  id: string,
  framing: string,
): string {
  return [
    `${method} ${path} HTTP/1.1`,
    'Host: shop.example',
    `Cyclamenlever-Request-Id: ${id}`,
    'Cyclamenlever-Deadline-Ms: 20000',
    ...(framing === '' ? [] : [framing]),
    '\r\n',
  ].join('\r\n');
}

function* bodyOf(bytes: number, pieceBytes: number): Iterable<Buffer> {
  const piece = Buffer.alloc(pieceBytes, 'x');
  for (let left = bytes; left > 0; left -= pieceBytes) {
    yield piece.subarray(0, Math.min(left, pieceBytes));
  }
}

function chunkOf(bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`);
}

function* repeat(part: Buffer, times: number): Iterable<Buffer> {
  for (let i = 0; i < times; i += 1) {
    yield part;
  }
}

function upload(client: number, framing: string): string {
  return head('POST', '/upload/1', `upload-${client}`, framing);
}

const CHUNKED = 'Transfer-Encoding: chunked';

/** 10 kB. */
const MANY_HEADERS = Buffer.from('Ab: cdef\r\n'.repeat(1_000));

/** By what the clients do. */
export const SCRIPTS = {
  'send chunks of one byte without an end': function* (client) {
    yield upload(client, CHUNKED);
    const batch = 1_000;
    const part = Buffer.concat([...repeat(chunkOf(1), batch)]);
    yield* repeat(part, TINY_CHUNKS / batch);
  },
  'send large chunks without an end': function* (client) {
    yield upload(client, CHUNKED);
    yield* repeat(chunkOf(CHUNK_BYTES), UPLOAD_BYTES / CHUNK_BYTES);
  },
  'send bodies whole but for one byte': function* (client) {
    yield upload(client, `Content-Length: ${UPLOAD_BYTES}`);
    yield* bodyOf(UPLOAD_BYTES - 1, UPLOAD_BYTES);
  },
  'send bodies in small pieces whole but for one byte': function* (client) {
    yield upload(client, `Content-Length: ${UPLOAD_BYTES}`);
    yield* bodyOf(UPLOAD_BYTES - 1, PIECE_BYTES);
  },
  'send requests ahead and read no response': function* (client) {
    const ids = Array.from(
      {length: REQUESTS_AHEAD},
      (_, at) => `ahead-${client}-${at}`,
    );
    const requests = ids.map(id =>
      head('GET', '/lookup/1', id, `Idempotency-Key: ${id}`),
    );
    yield requests.join('');
  },
  'send requests ahead with unknown keys': function* (client) {
    const ids = Array.from(
      {length: 10 * REQUESTS_AHEAD},
      (_, at) => `ahead-${client}-${at}`,
    );
    const requests = ids.map(id =>
      head('GET', '/closed/1', id, `Authorization: Bearer ${id}`),
    );
    yield requests.join('');
  },
  'send short requests ahead': function* () {
    yield 'GET / HTTP/1.1\r\nHost:a\r\n\r\n'.repeat(20_000);
  },
  'send heads without an end': function* (client) {
    yield upload(client, 'A: 1');
    yield* repeat(MANY_HEADERS, 12);
  },
  'send trailers without an end': function* (client) {
    yield upload(client, CHUNKED);
    yield '0\r\n';
    yield* repeat(MANY_HEADERS, 12);
  },
  'send nothing': function* () {
    yield '';
  },
} satisfies Readonly<Record<string, Script>>;

export type Conduct = keyof typeof SCRIPTS;

export class Crowd {
  private readonly sockets = new Set<Socket>();
  private sentBytes = 0;

  /** Connects a client that sends its script, reads nothing and stays. */
  add(port: number, conduct: Conduct, client: number): void {
    const socket = connect(port, '127.0.0.1');
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    const parts = SCRIPTS[conduct](client)[Symbol.iterator]();
    const send = (): void => {
      for (;;) {
        const {value, done} = parts.next();
        if (done === true || socket.destroyed) {
          return;
        }
        this.sentBytes += value.length;
        if (!socket.write(value)) {
          socket.once('drain', send);
          return;
        }
      }
    };
    send();
  }

  /** Resolves once the clients have sent all, or the host reads no more. */
  async settled(): Promise<void> {
    let quietMs = 0;
    let before = '';
    while (quietMs < QUIET_MS) {
      await sleep(POLL_MS);
      const now = `${this.sentBytes} ${this.sockets.size}`;
      quietMs = now === before ? quietMs + POLL_MS : 0;
      before = now;
    }
  }

  leave(): void {
    this.sockets.forEach(socket => socket.destroy());
  }
}
