/** A repeatable request that this host hands to the service's home host. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {DispatchRequest} from '../decisions/dispatch/index.js';
import type {Home} from '../decisions/handover/index.js';
import type {ResponseHead, AttemptObserver} from '../transport/index.js';
import type {AttemptHandle} from '../transport/index.js';
import {
  DEPTH_HEADER,
  HANDOVER_HEADER,
  REASON_HEADER,
  TIMEOUT_HEADER,
} from '../http/index.js';
import {handoverAnswerHeaders, requestHeaders} from './headers.js';
import {findHeader} from '../http/index.js';
import {sendProblem} from '../http/index.js';
import type {CallerContext} from './types.js';

/** Connections to one home: enough for the requests in flight there. */
const HOME_CONNECTIONS = 256;
const ACKNOWLEDGED = 102;
/** The home cannot serve it, but this host may. */
const HOME_UNABLE: ReadonlySet<string> = new Set([
  'not-ready',
  'unknown-service',
]);

export interface HandedOverRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly dispatch: DispatchRequest;
  readonly body: Buffer | null;
}

export class HandoverSession implements AttemptObserver {
  private handle: AttemptHandle | undefined;
  private timer: NodeJS.Timeout | undefined;
  private delivering = false;
  private over = false;
  private readonly onClose = (): void => this.callerClosed();

  constructor(
    private readonly handed: HandedOverRequest,
    private readonly home: Home,
    private readonly context: CallerContext,
    /** Decides the request on this host after all. */
    private readonly serveHere: () => void,
  ) {}

  start(): void {
    const {request, response, dispatch, body} = this.handed;
    const left = Math.max(0, dispatch.deadlineAt - this.context.clock.now());
    this.timer = setTimeout(() => this.expire(), left);
    response.on('close', this.onClose);
    this.context.desk.handOver(this.home, dispatch.id, () => this.takeBack());
    this.handle = this.context.transport.send(
      {
        address: this.home.address,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: [
          ...requestHeaders(request.rawHeaders),
          HANDOVER_HEADER,
          '1',
          TIMEOUT_HEADER,
          String(Math.floor(left)),
          DEPTH_HEADER,
          String(dispatch.depth),
        ],
        body,
      },
      HOME_CONNECTIONS,
      this,
    );
  }

  onInformational(status: number): void {
    if (status === ACKNOWLEDGED) {
      this.context.desk.acknowledge(this.home, this.handed.dispatch.id);
    }
  }

  onHead(head: ResponseHead): void {
    const reason = findHeader(head.headers, REASON_HEADER);
    if (reason !== undefined && HOME_UNABLE.has(reason)) {
      this.takeBack();
      return;
    }
    this.context.desk.acknowledge(this.home, this.handed.dispatch.id);
    this.delivering = true;
    const {response} = this.handed;
    response.writeHead(head.status, handoverAnswerHeaders(head.headers));
  }

  onData(chunk: Buffer): void {
    const {response} = this.handed;
    if (!response.write(chunk)) {
      this.handle?.pause();
      response.once('drain', () => this.handle?.resume());
    }
  }

  onEnd(): void {
    this.handed.response.end();
    this.finish();
  }

  /** The home went away: the request is repeatable, so it is decided here. */
  onFail(): void {
    if (!this.delivering) {
      this.takeBack();
      return;
    }
    this.handed.response.destroy();
    this.finish();
  }

  private takeBack(): void {
    if (this.over || this.delivering) {
      return;
    }
    this.finish();
    this.serveHere();
  }

  private expire(): void {
    this.finish();
    sendProblem(this.handed.response, {
      reason: 'attempt-timed-out',
      outcome: 'unknown',
    });
  }

  private callerClosed(): void {
    if (!this.handed.response.writableFinished) {
      this.finish();
    }
  }

  private finish(): void {
    if (this.over) {
      return;
    }
    this.over = true;
    clearTimeout(this.timer);
    this.handed.response.off('close', this.onClose);
    this.context.desk.end(this.home, this.handed.dispatch.id);
    this.handle?.cancel();
  }
}
