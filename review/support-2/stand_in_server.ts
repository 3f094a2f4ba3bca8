/** A stand-in of a server: a sound one, unless `answer` does otherwise. */

import type {Server, Socket} from 'node:net';
import {createServer} from 'node:net';

export interface ReceivedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
}

export class StandInServer {
  running = 0;
  address = '';
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  /** @param answer called with each request for this server that isn't a health check */
  constructor(
    readonly id: string,
    private readonly slots: number,
    private readonly answer: (
      server: StandInServer,
      request: ReceivedRequest,
      socket: Socket,
    ) => void,
  ) {
    this.server = createServer(socket => this.accept(socket));
  }

  async listen(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const address = this.server.address();
    const port = typeof address === 'object' ? address?.port : 0;
    this.address = `127.0.0.1:${port}`;
  }

  close(): void {
    this.server.close();
    this.sockets.forEach(socket => socket.destroy());
  }

  /** A whole answer of a sound server. */
  wholeAnswer(id: string, body: string): string {
    return [
      'HTTP/1.1 200 OK',
      `Cyclamenlever-Request-Id: ${id}`,
      'Cyclamenlever-Server-Stamp: stamp',
      ...this.ownHeaders(body.length),
      '',
      body,
    ].join('\r\n');
  }

  private ownHeaders(length: number): readonly string[] {
    return [
      `Cyclamenlever-Instance-Id: ${this.id}`,
      `Cyclamenlever-Server-Load: ${this.running},0,${this.slots},100`,
      'Keep-Alive: timeout=10',
      `Content-Length: ${length}`,
    ];
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    let buffered = '';
    socket.on('data', chunk => {
      buffered += chunk.toString('latin1');
      for (;;) {
        buffered = buffered.replace(/^(\r\n)+/, '');
        const end = buffered.indexOf('\r\n\r\n');
        const head = buffered.slice(0, end);
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        if (end < 0 || buffered.length < end + 4 + length) {
          return;
        }
        buffered = buffered.slice(end + 4 + length);
        this.serve(socket, parseHead(head));
      }
    });
  }

  private serve(socket: Socket, request: ReceivedRequest): void {
    if (request.path === '/health') {
      socket.write(
        ['HTTP/1.1 200 OK', ...this.ownHeaders(0), '', ''].join('\r\n'),
      );
      return;
    }
    const expected = request.headers.get('cyclamenlever-expect-instance');
    const refusal =
      expected !== undefined && expected !== this.id
        ? '421 Misdirected Request'
        : this.running >= this.slots
          ? '503 Service Unavailable'
          : undefined;
    if (refusal === undefined) {
      this.answer(this, request, socket);
      return;
    }
    const lines = [
      `HTTP/1.1 ${refusal}`,
      `Cyclamenlever-Request-Id: ${request.id}`,
      'Cyclamenlever-Not-Executed: 1',
      ...this.ownHeaders(0),
    ];
    socket.write([...lines, '', ''].join('\r\n'));
  }
}

function parseHead(head: string): ReceivedRequest {
  const [line = '', ...lines] = head.split('\r\n');
  const [method = '', path = ''] = line.split(' ');
  const headers = new Map(
    lines.map(one => {
      const at = one.indexOf(':');
      return [one.slice(0, at).toLowerCase(), one.slice(at + 1).trim()];
    }),
  );
  const id = headers.get('cyclamenlever-request-id') ?? '';
  return {id, method, path, headers};
}

/** Writes pieces at a rate until the connection is closed. */
export function writeEndlessly(
  socket: Socket,
  piece: string,
  bytesPerMs: number,
): void {
  const intervalMs = 10;
  const timer = setInterval(() => {
    const most = bytesPerMs * intervalMs;
    let written = 0;
    while (written < most && socket.writableLength < most) {
      socket.write(piece);
      written += piece.length;
    }
  }, intervalMs);
  socket.on('close', () => clearInterval(timer));
}
