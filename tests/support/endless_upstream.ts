/** An upstream that sends bytes without an end, as fast as they are read. */

import type {Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

/** What it sends: a start, and a part again and again. */
interface EndlessBytes {
  readonly start: string;
  readonly part: string;
}

const KILOBYTE = 1024;
const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const STAMP = 'Cyclamenlever-Server-Stamp: signed\r\n';
const ID_PLACE = 'REQUEST-ID';
const ECHO = `Cyclamenlever-Request-Id: ${ID_PLACE}\r\n`;
const TINY_CHUNKS = '1\r\nx\r\n'.repeat(10 * KILOBYTE);

export const ENDLESS_BYTES = {
  headers: {start: OK, part: 'A: b\r\n'.repeat(10 * KILOBYTE)},
  'one header': {start: `${OK}A: `, part: 'x'.repeat(64 * KILOBYTE)},
  'a status line': {start: 'HTTP/1.1 200 ', part: 'x'.repeat(64 * KILOBYTE)},
  'interim responses': {
    start: '',
    part: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(2 * KILOBYTE),
  },
  'empty lines': {start: '', part: '\r\n'.repeat(32 * KILOBYTE)},
  'no response': {start: '', part: '\0'.repeat(64 * KILOBYTE)},
  'a body': {start: `${OK}\r\n`, part: 'x'.repeat(64 * KILOBYTE)},
  'chunks of one byte': {start: `${OK}${CHUNKED}`, part: TINY_CHUNKS},
  'one chunk': {
    start: `${OK}${CHUNKED}ffffffff\r\n`,
    part: 'x'.repeat(64 * KILOBYTE),
  },
  'extensions of a chunk': {
    start: `${OK}${CHUNKED}1;a=`,
    part: 'x'.repeat(64 * KILOBYTE),
  },
  trailers: {
    start: `${OK}${CHUNKED}0\r\n`,
    part: 'A: b\r\n'.repeat(10 * KILOBYTE),
  },
  'signed chunks of one byte': {
    start: `${OK}${STAMP}${ECHO}${CHUNKED}`,
    part: TINY_CHUNKS,
  },
  'a signed body': {
    start: `${OK}${STAMP}${ECHO}\r\n`,
    part: 'x'.repeat(64 * KILOBYTE),
  },
  'signed trailers': {
    start: `${OK}${STAMP}${ECHO}${CHUNKED}0\r\n`,
    part: 'A: b\r\n'.repeat(10 * KILOBYTE),
  },
} satisfies Readonly<Record<string, EndlessBytes>>;

export type EndlessKind = keyof typeof ENDLESS_BYTES;

export class EndlessUpstream {
  /** Whether its responses to health checks have no end either. */
  spoilsHealth = false;
  kind: EndlessKind = 'a body';
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(readonly id: string) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** Resolves with IP address and port. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.sockets.forEach(socket => socket.destroy());
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    let buffered = '';
    socket.on('data', chunk => {
      buffered += chunk.toString('latin1');
      const end = buffered.indexOf('\r\n\r\n');
      if (end >= 0) {
        const head = buffered.slice(0, end);
        buffered = buffered.slice(end + 4);
        this.serve(socket, head);
      }
    });
  }

  private serve(socket: Socket, head: string): void {
    if (head.startsWith('GET /health ') && !this.spoilsHealth) {
      socket.write(
        `${OK}Cyclamenlever-Instance-Id: ${this.id}\r\n` +
          'Cyclamenlever-Server-Load: 0,0,1000,100\r\nContent-Length: 0\r\n\r\n',
      );
      return;
    }
    const id = /cyclamenlever-request-id: (.*)/i.exec(head)?.[1] ?? '';
    const {start, part} = ENDLESS_BYTES[this.kind];
    socket.write(start.replace(ID_PLACE, id));
    const fill = (): void => {
      while (!socket.destroyed && socket.write(part)) {
        // Goes on until the buffer is full.
      }
    };
    socket.on('drain', fill);
    fill();
  }
}
