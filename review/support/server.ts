/**
 * A server of the deployment: slots, a short queue, load reports, and cancellation of
 * requests whose connection closes.
 */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';

const SLOTS = 6;
const MAX_WAITING = 4;
const KEEP_ALIVE_MS = 10_000;
const HEALTH_PATH = '/health';

/** A request that the server has begun to run. */
export interface Run {
  readonly server: string;
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

export interface ServerOptions {
  readonly id: string;
  readonly ip: string;
  readonly workMs: number;
  /** Answers a request at the end of its run. */
  readonly answer: (run: Run) => void;
  readonly onRun: (run: Run) => void;
  /** Whether to reject a request before its body is in; the rest is read later. */
  readonly rejectsEarly?: (request: IncomingMessage) => boolean;
}

export class ReviewServer {
  private readonly server: Server;
  private readonly waiting: (() => void)[] = [];
  private running = 0;

  constructor(readonly options: ServerOptions) {
    this.server = createServer((request, response) =>
      this.serve(request, response),
    );
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
  }

  /** Resolves with its address. */
  listen(): Promise<string> {
    const {ip} = this.options;
    return new Promise(resolve => {
      this.server.listen(0, ip, () => {
        const address = this.server.address();
        const port = typeof address === 'object' ? address?.port : 0;
        resolve(`${ip}:${String(port)}`);
      });
    });
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const {id} = this.options;
    const expected = request.headers['cyclamenlever-expect-instance'];
    const requestId = request.headers['cyclamenlever-request-id'];
    response.setHeader('Cyclamenlever-Instance-Id', id);
    response.setHeader('Cyclamenlever-Server-Load', this.load);
    if (typeof requestId === 'string') {
      response.setHeader('Cyclamenlever-Request-Id', requestId);
    }
    request.resume();
    if (expected !== undefined && expected !== id) {
      response.writeHead(421).end();
    } else if (request.url === HEALTH_PATH) {
      response.writeHead(200, {'content-length': 0}).end();
    } else if (typeof requestId !== 'string') {
      this.refuse(response, 400);
    } else if (this.options.rejectsEarly?.(request)) {
      response.writeHead(413, {'content-length': 0}).end();
    } else {
      const run = {server: id, id: requestId, request, response};
      request.once('end', () => this.place(run));
    }
  }

  /** Runs a request whose body is in, queues it, or refuses it. */
  private place(run: Run): void {
    if (this.running < SLOTS) {
      this.run(run);
    } else if (this.waiting.length < MAX_WAITING) {
      this.waiting.push(() => this.run(run));
    } else {
      this.refuse(run.response, 503);
    }
  }

  private get load(): string {
    return `${this.running},${this.waiting.length},${SLOTS},100`;
  }

  private refuse(response: ServerResponse, status: number): void {
    const headers = {'Cyclamenlever-Not-Executed': '1', 'content-length': 0};
    response.writeHead(status, headers).end();
  }

  private run(run: Run): void {
    if (run.response.destroyed) {
      this.waiting.shift()?.();
      return;
    }
    this.running += 1;
    this.options.onRun(run);
    let ended = false;
    const end = (): void => {
      if (!ended) {
        ended = true;
        clearTimeout(timer);
        this.running -= 1;
        this.waiting.shift()?.();
      }
    };
    const timer = setTimeout(() => {
      end();
      run.response.setHeader('Cyclamenlever-Server-Load', this.load);
      run.response.setHeader('Cyclamenlever-Server-Stamp', `stamp.${run.id}`);
      this.options.answer(run);
    }, this.options.workMs);
    run.response.once('close', end);
  }
}
