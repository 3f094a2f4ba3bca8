/** An upstream on Node's HTTP server, which reads bodies of any framing. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

const SLOTS = 1_000;
/** Responses to requests for this path are chunks of one byte without an end. */
export const ENDLESS_PATH = '/lookup/endless';
const TINY_CHUNKS = '1\r\nx\r\n'.repeat(10_000);

export class PlainUpstream {
  private readonly server: Server;
  private running = 0;

  /** @param bodyBytes size of the responses */
  constructor(
    readonly id: string,
    private readonly bodyBytes: number,
  ) {
    this.server = createServer((request, response) =>
      this.serve(request, response),
    );
  }

  /** Resolves with IP address and port. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const expected = request.headers['cyclamenlever-expect-instance'];
    response.setHeader('cyclamenlever-instance-id', this.id);
    response.setHeader(
      'cyclamenlever-server-load',
      `${this.running},0,${SLOTS},100`,
    );
    request.on('error', () => undefined);
    request.resume();
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421).end();
      return;
    }
    if (request.url === '/health') {
      response.end();
      return;
    }
    this.running += 1;
    response.on('close', () => (this.running -= 1));
    const id = String(request.headers['cyclamenlever-request-id']);
    response.setHeader('cyclamenlever-request-id', id);
    response.setHeader('cyclamenlever-server-stamp', 'signed');
    request.on('end', () => {
      if (request.url === ENDLESS_PATH) {
        writeEndlessly(response);
      } else {
        response.end(Buffer.alloc(this.bodyBytes, 'x'));
      }
    });
  }
}

function writeEndlessly(response: ServerResponse): void {
  response.flushHeaders();
  const {socket} = response;
  const fill = (): void => {
    while (socket?.writable === true && socket.write(TINY_CHUNKS)) {
      // Goes on until the buffer is full.
    }
  };
  socket?.on('drain', fill);
  fill();
}
