/** An idempotent request that this host hands over to a home host. */

import type {DispatchRequest} from '../decisions/dispatch/index.js';
import type {HomeHost} from '../decisions/handover/index.js';
import type {ResponseHead, AttemptObserver} from '../transport/index.js';
import type {AttemptHandle} from '../transport/index.js';
import {
  DEPTH_HEADER,
  HANDOVER_HEADER,
  REASON_HEADER,
  TIMEOUT_HEADER,
} from '../http/index.js';
import {handoverResponseHeaders, requestHeaders} from './headers.js';
import {findHeader} from '../http/index.js';
import {sendProblem} from '../http/index.js';
import type {IncomingCall} from '../servers/index.js';
import type {CallerContext} from './types.js';

/** Connections to one home host: enough for the requests in flight there. */
const MAX_HOME_HOST_CONNECTIONS = 256;
const ACKNOWLEDGED_STATUS = 102;
/** Reasons for which a home host refuses a request that this host may serve. */
const HOME_HOST_UNABLE_REASONS: ReadonlySet<string> = new Set([
  'not-ready',
  'unknown-service',
]);

export interface HandedOverRequest extends IncomingCall {
  readonly dispatch: DispatchRequest;
  readonly body: Buffer | null;
}

export class HandoverSession implements AttemptObserver {
  private handle: AttemptHandle | undefined;
  private timer: NodeJS.Timeout | undefined;
  private delivering = false;
  private finished = false;
  private stopListening: () => void = () => undefined;

  constructor(
    private readonly handover: HandedOverRequest,
    private readonly homeHost: HomeHost,
    private readonly context: CallerContext,
    /** Serves the request on this host instead. */
    private readonly serveHere: () => void,
  ) {}

  start(): void {
    const {request, response, boundary, dispatch, body} = this.handover;
    const remainingMs = Math.max(
      0,
      dispatch.deadlineAt - this.context.clock.now(),
    );
    this.timer = setTimeout(
      boundary.wrap(() => this.expire()),
      remainingMs,
    );
    this.stopListening = boundary.listen(response, 'close', () =>
      this.callerClosed(),
    );
    this.context.handovers.handOver(this.homeHost, dispatch.id, () =>
      this.reclaim(),
    );
    this.handle = this.context.transport.send(
      {
        address: this.homeHost.address,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: [
          ...requestHeaders(request.rawHeaders),
          HANDOVER_HEADER,
          '1',
          TIMEOUT_HEADER,
          String(Math.floor(remainingMs)),
          DEPTH_HEADER,
          String(dispatch.depth),
        ],
        body,
      },
      MAX_HOME_HOST_CONNECTIONS,
      this,
    );
  }

  onInformational(status: number): void {
    if (status === ACKNOWLEDGED_STATUS) {
      this.context.handovers.acknowledge(
        this.homeHost,
        this.handover.dispatch.id,
      );
    }
  }

  onHead(head: ResponseHead): void {
    const reason = findHeader(head.headers, REASON_HEADER);
    if (reason !== undefined && HOME_HOST_UNABLE_REASONS.has(reason)) {
      this.reclaim();
      return;
    }
    this.context.handovers.acknowledge(
      this.homeHost,
      this.handover.dispatch.id,
    );
    this.delivering = true;
    const {response} = this.handover;
    response.writeHead(head.status, handoverResponseHeaders(head.headers));
  }

  onData(chunk: Buffer): void {
    const {response, boundary} = this.handover;
    if (!response.write(chunk)) {
      this.handle?.pause();
      boundary.listenOnce(response, 'drain', () => this.handle?.resume());
    }
  }

  onEnd(): void {
    this.handover.response.end();
    this.finish();
  }

  /** The home host failed: reclaims the request, since it is idempotent. */
  onFail(): void {
    if (!this.delivering) {
      this.reclaim();
      return;
    }
    this.handover.response.destroy();
    this.finish();
  }

  private reclaim(): void {
    if (this.finished || this.delivering) {
      return;
    }
    this.finish();
    this.serveHere();
  }

  private expire(): void {
    this.finish();
    sendProblem(this.handover.response, {
      reason: 'attempt-timed-out',
      outcome: 'unknown',
    });
  }

  private callerClosed(): void {
    if (!this.handover.response.writableFinished) {
      this.finish();
    }
  }

  private finish(): void {
    if (this.finished) {
      return;
    }
    this.finished = true;
    clearTimeout(this.timer);
    this.stopListening();
    this.context.handovers.end(this.homeHost, this.handover.dispatch.id);
    this.handle?.cancel();
  }
}
