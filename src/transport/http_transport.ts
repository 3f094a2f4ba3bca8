/** Sends requests to upstreams over HTTP/1.1 with undici. */

import type {Dispatcher} from 'undici';
import {Pool} from 'undici';
import type {Milliseconds} from '../time/index.js';
import {BODILESS_STATUSES} from '../http/index.js';
import {DuplicateSendError, UnframedResponseError} from './errors.js';
import type {
  ResponseHead,
  AttemptHandle,
  AttemptObserver,
  OutgoingRequest,
  RawHeaders,
  Transport,
} from './types.js';

type Controller = Dispatcher.DispatchController;

const CONNECT_TIMEOUT_MS: Milliseconds = 1_000;
/** Shorter than the usual 5 s of servers, so that we close idle ones first. */
const KEEP_ALIVE_TIMEOUT_MS: Milliseconds = 4_000;

export class HttpTransport implements Transport {
  private readonly pools = new Map<string, Pool>();

  send(
    request: OutgoingRequest,
    connections: number,
    observer: AttemptObserver,
  ): AttemptHandle {
    const attempt = new HttpAttempt(request.method, observer);
    this.poolOf(request.address, connections).dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers as string[],
        body: request.body,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      attempt,
    );
    return attempt;
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  private poolOf(address: string, connections: number): Pool {
    const known = this.pools.get(address);
    if (known) {
      return known;
    }
    const pool = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connect: {timeout: CONNECT_TIMEOUT_MS},
    });
    this.pools.set(address, pool);
    return pool;
  }
}

/** One attempt, as undici tells of it. */
export class HttpAttempt implements AttemptHandle, Dispatcher.DispatchHandler {
  private controller: Controller | undefined;
  private sent = false;
  private done = false;
  private cancelled = false;

  constructor(
    private readonly method: string,
    private readonly observer: AttemptObserver,
  ) {}

  cancel(): void {
    this.cancelled = true;
    this.done = true;
    this.controller?.abort(new Error('cancelled'));
  }

  pause(): void {
    this.controller?.pause();
  }

  resume(): void {
    this.controller?.resume();
  }

  /**
   * The client library calls this just before it writes. A second call means
   * that it is about to repeat the request by itself, as it may when a pooled
   * connection turns out stale: an order would run twice. The abort stops the
   * second write, and the first counts as sent.
   */
  onRequestStart(controller: Controller): void {
    this.controller = controller;
    if (this.cancelled) {
      controller.abort(new Error('cancelled'));
      return;
    }
    if (this.sent) {
      controller.abort(new DuplicateSendError());
      return;
    }
    this.sent = true;
  }

  onResponseStart(controller: Controller, status: number): void {
    if (this.done) {
      return;
    }
    if (status < 200) {
      this.observer.onInformational(status);
      return;
    }
    const head = {status, headers: readHeaders(controller)};
    if (!isFramed(head, this.method)) {
      controller.abort(new UnframedResponseError());
      return;
    }
    this.observer.onHead(head);
  }

  onResponseData(_controller: Controller, chunk: Buffer): void {
    if (!this.done) {
      this.observer.onData(chunk);
    }
  }

  onResponseEnd(): void {
    if (!this.done) {
      this.done = true;
      this.observer.onEnd();
    }
  }

  onResponseError(_controller: Controller, error: Error): void {
    if (!this.done) {
      this.done = true;
      this.observer.onFail(this.sent, error);
    }
  }
}

function readHeaders(controller: Controller): RawHeaders {
  const raw = controller.rawHeaders as readonly Buffer[];
  return raw.map(part => part.toString('latin1'));
}

/**
 * An answer without a length ends where the connection does, so a server that
 * dies halfway looks like one that finished: it can't be told to be whole.
 */
function isFramed(head: ResponseHead, method: string): boolean {
  if (method === 'HEAD' || BODILESS_STATUSES.has(head.status)) {
    return true;
  }
  for (let i = 0; i < head.headers.length; i += 2) {
    const name = head.headers[i]?.toLowerCase();
    if (name === 'content-length' || name === 'transfer-encoding') {
      return true;
    }
  }
  return false;
}
