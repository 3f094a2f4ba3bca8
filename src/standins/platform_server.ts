/** Serves the simulated log and host list over HTTP, for the quick start. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {HostList, LogService} from '../log_service/index.js';
import {TrafficMeter, closeNow, listen} from '../servers/index.js';

export class PlatformServer {
  readonly traffic: TrafficMeter;
  private readonly server: Server;

  constructor(
    private readonly log: LogService,
    private readonly hostList: HostList,
  ) {
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.traffic = new TrafficMeter(this.server);
  }

  listen(port = 0): Promise<number> {
    return listen(this.server, '127.0.0.1', port);
  }

  close(): Promise<void> {
    return closeNow(this.server);
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform');
    if (url.pathname === '/hosts') {
      const hosts = await this.hostList.list();
      send(response, 200, hosts.unwrapOr([]));
      return;
    }
    if (url.pathname === '/append') {
      const result = await this.log.append(await readText(request));
      result.match(
        offset => send(response, 200, {offset}),
        failure => fail(response, failure.kind),
      );
      return;
    }
    const number = (name: string): number =>
      Number(url.searchParams.get(name) ?? 0);
    const page = await this.log.read(
      number('from'),
      number('limit'),
      number('wait'),
    );
    page.match(
      value => send(response, 200, value),
      failure => fail(response, failure.kind),
    );
  }
}

/** Closes the connection when the outcome is unknown, as a real platform does. */
function fail(response: ServerResponse, kind: 'refused' | 'unknown'): void {
  if (kind === 'unknown') {
    response.destroy();
  } else {
    send(response, 503, {error: kind});
  }
}

function send(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
}
