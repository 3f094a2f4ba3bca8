/** Simulates an upstream with slots, a queue, load reports and faults. */

import {createHash} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {Socket} from 'node:net';
import type {Milliseconds, Random} from '../time/index.js';
import {systemClock} from '../time/index.js';
import {closeNow, listen} from '../servers/index.js';

const COLD_SLOWDOWN = 5;

/** Fault to inject into responses. */
export type UpstreamFault =
  | 'none'
  /** Responds 500 immediately. */
  | 'fail-fast'
  /** Refuses with 503 and states that the request wasn't executed. */
  | 'shed'
  /** Executes the request, then closes the connection without a response. */
  | 'reset-after-run'
  /** Closes the connection halfway through the response. */
  | 'truncate'
  /** Executes the request and never responds. */
  | 'stall';

export interface UpstreamOptions {
  readonly name: string;
  readonly slots: number;
  /** Mean of the exponential service time. */
  readonly serviceMs: Milliseconds;
  readonly random: Random;
  /** Maximum number of connections; unlimited by default. */
  readonly connections?: number;
  /** Time after the start during which requests take longer. */
  readonly coldMs?: Milliseconds;
}

/** A request that the upstream executed. */
export interface RunRecord {
  readonly upstream: string;
  /** The caller's X-Request-Id. */
  readonly requestId: string;
  readonly method: string;
}

export class UpstreamServer {
  fault: UpstreamFault = 'none';
  /** Factor on service times; above 1 simulates a straggler. */
  slowdown = 1;
  /** Whether the load endpoint responds 503, as when the upstream drains. */
  leaving = false;
  readonly runs: RunRecord[] = [];
  private readonly server: Server;
  private readonly queue: (() => void)[] = [];
  private running = 0;
  private readonly startedAt: Milliseconds;
  /** Requests refused because they were cancelled or past their deadline in the queue. */
  dropped = 0;

  constructor(private readonly options: UpstreamOptions) {
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
    this.server.keepAliveTimeout = 5_000;
    this.server.maxConnections = options.connections ?? Infinity;
    this.startedAt = systemClock.now();
  }

  get inFlight(): number {
    return this.running + this.queue.length;
  }

  listen(port = 0): Promise<number> {
    return listen(this.server, '127.0.0.1', port);
  }

  close(): Promise<void> {
    return closeNow(this.server);
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === '/load') {
      this.respond(response, this.leaving ? 503 : 200, '');
      return;
    }
    if (this.fault === 'shed') {
      response.setHeader('cyclamenlever-outcome', 'not-run');
      this.respond(response, 503, 'shed');
      return;
    }
    if (this.fault === 'fail-fast') {
      this.respond(response, 500, 'failed');
      return;
    }
    const digest = await digestOf(request);
    const arrivedAt = systemClock.now();
    await this.acquireSlot();
    if (this.isCancelledOrLate(request, arrivedAt)) {
      this.releaseSlot();
      this.dropped += 1;
      response.setHeader('cyclamenlever-outcome', 'not-run');
      this.respond(response, 503, 'too late');
      return;
    }
    this.runs.push({
      upstream: this.options.name,
      requestId: String(request.headers['x-request-id'] ?? ''),
      method: request.method ?? '',
    });
    setTimeout(() => {
      this.releaseSlot();
      this.finish(request, response, digest);
    }, this.serviceTime());
  }

  private finish(
    request: IncomingMessage,
    response: ServerResponse,
    digest: string,
  ): void {
    switch (this.fault) {
      case 'stall':
        return;
      case 'reset-after-run':
        request.socket.destroy();
        return;
      case 'truncate':
        truncate(response, request.socket, digest);
        return;
      default:
        this.respond(response, 200, digest);
    }
  }

  private respond(
    response: ServerResponse,
    status: number,
    body: string,
  ): void {
    const load = `TEXT named_metrics.in_flight=${this.inFlight}`;
    response.writeHead(status, {
      'endpoint-load-metrics': load,
      'x-upstream': this.options.name,
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  }

  /** Whether the request was cancelled or its deadline passed while it was queued. */
  private isCancelledOrLate(
    request: IncomingMessage,
    arrivedAt: Milliseconds,
  ): boolean {
    const timeout = Number(
      request.headers['cyclamenlever-timeout-ms'] ?? Infinity,
    );
    const late = systemClock.now() - arrivedAt > timeout;
    return late || request.socket.destroyed;
  }

  private serviceTime(): Milliseconds {
    const {serviceMs, random, coldMs = 0} = this.options;
    const cold = systemClock.now() - this.startedAt < coldMs;
    const factor = this.slowdown * (cold ? COLD_SLOWDOWN : 1);
    return -Math.log(1 - random()) * serviceMs * factor;
  }

  private acquireSlot(): Promise<void> {
    if (this.running < this.options.slots) {
      this.running += 1;
      return Promise.resolve();
    }
    return new Promise(resolve => this.queue.push(resolve));
  }

  private releaseSlot(): void {
    const next = this.queue.shift();
    if (next) {
      next();
    } else {
      this.running -= 1;
    }
  }
}

/** Digest of method, path and body, by which a response is matched to its request. */
export function expectedDigest(
  method: string,
  url: string,
  body: string | Buffer,
): string {
  return createHash('sha256')
    .update(`${method} ${url}\n`)
    .update(body)
    .digest('hex');
}

async function digestOf(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
  } catch {
    return 'incomplete';
  }
  const {method = '', url = ''} = request;
  return expectedDigest(method, url, Buffer.concat(chunks));
}

function truncate(
  response: ServerResponse,
  socket: Socket,
  digest: string,
): void {
  response.writeHead(200, {'content-length': digest.length});
  response.write(digest.slice(0, digest.length / 2), () => socket.destroy());
}
