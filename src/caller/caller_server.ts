/** The HTTP server for callers' requests. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Rule} from '../decisions/configuration/index.js';
import type {DispatchRequest} from '../decisions/dispatch/index.js';
import type {HomeHost} from '../decisions/handover/index.js';
import type {ServiceRuntime} from '../service/index.js';
import {
  DEPTH_HEADER,
  HANDOVER_HEADER,
  HEADERS_TIMEOUT_MS,
  IDEMPOTENCY_HEADER,
  KEEP_ALIVE_TIMEOUT_MS,
  MAX_HEADER_BYTES,
  REQUEST_TIMEOUT_MS,
  TIMEOUT_HEADER,
} from '../http/index.js';
import type {OrderIdentity} from './keyed_orders.js';
import {
  CLAIM_REFUSAL_OUTCOMES,
  toKeyedOrder,
  replayResponse,
} from './keyed_orders.js';
import {findRequestFault} from '../http/index.js';
import {HandoverSession} from './handover_session.js';
import {OrderRecorder} from './order_recorder.js';
import type {ProblemReason} from '../http/index.js';
import {sendProblem} from '../http/index.js';
import type {RequestBody} from '../http/index.js';
import {hasBody, readBody} from '../http/index.js';
import {CallerSession} from './session.js';
import type {CallerContext} from './types.js';
import type {CallerCall} from '../servers/index.js';
import {
  GracefulServer,
  closeAfter,
  isClosing,
  listen,
} from '../servers/index.js';

const IDLE_SWEEP_MS = 20;
const DEFAULT_TENANT = 'none';
/** Retry-After for a caller whose order could not be claimed. */
const CLAIM_RETRY_AFTER_MS = 1_000;
const PARSE_ERROR_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

export class CallerServer {
  private readonly server: GracefulServer;
  private nextRequestId = 1;
  private stopping = false;

  constructor(private readonly context: CallerContext) {
    const {logger} = context;
    this.server = new GracefulServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        requireHostHeader: false,
      },
      (error, request) =>
        logger.error(
          {error, target: request?.url},
          'an internal error was contained',
        ),
      call => this.handle(call),
    );
    this.server.listenTo(
      'checkExpectation',
      (request: IncomingMessage, response: ServerResponse) =>
        this.server.accept(request, response),
    );
    this.server.listenToFaults(refuseUnparsable);
  }

  /** Starts to listen; resolves with the port in use. */
  listen(host: string, port: number): Promise<number> {
    return listen(this.server, host, port);
  }

  /**
   * Stops accepting connections and lets requests in flight finish. Further
   * responses close their connection, so that keep-alive callers disconnect.
   */
  async close(): Promise<void> {
    this.stopping = true;
    await this.server.acceptWaiting();
    await new Promise<void>(resolve => {
      // A connection that was busy at the start of the shutdown becomes idle
      // later, and its keep-alive would delay the shutdown up to the limit.
      const stopSweep = this.server.startIdleSweep(IDLE_SWEEP_MS);
      this.server.close(() => {
        stopSweep();
        resolve();
      });
    });
  }

  /** Closes the connections of requests unfinished at the last deadline. */
  closeAllConnections(): void {
    this.server.closeAllConnections();
  }

  private handle(call: CallerCall): void {
    const {request, response} = call;
    const earlier = this.server.noteRequest(request, response);
    if (isClosing(request, earlier)) {
      return;
    }
    if (this.stopping) {
      closeAfter(response, earlier);
    }
    const fault = findRequestFault(request);
    if (fault) {
      this.refuse(response, fault.reason, fault.detail);
      return;
    }
    if (!this.context.isInService()) {
      this.refuse(response, 'not-ready');
      return;
    }
    const {host = ''} = request.headers;
    const runtime = this.context.services.findByHost(host);
    if (!runtime) {
      this.refuse(response, 'unknown-service', `no service for ${host}`);
      return;
    }
    this.serve(call, runtime);
  }

  private serve(call: CallerCall, runtime: ServiceRuntime): void {
    const {request, response, boundary, input} = call;
    const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
    const rule = runtime.findRule(request.method ?? 'GET', path);
    if (!hasBody(request)) {
      this.start(call, runtime, rule, {kind: 'none'});
      return;
    }
    readBody(request, boundary, input).then(
      boundary.wrap(body => this.start(call, runtime, rule, body)),
      boundary.wrap(() => this.refuse(response, 'request-body-broken')),
    );
  }

  private start(
    call: CallerCall,
    runtime: ServiceRuntime,
    rule: Rule,
    body: RequestBody,
  ): void {
    const {request, response, boundary} = call;
    if (response.destroyed) {
      return;
    }
    const dispatch = this.describe(call, rule);
    const serveHere = (recorder?: OrderRecorder): void =>
      new CallerSession(
        call,
        runtime,
        rule,
        dispatch,
        body,
        this.context,
        recorder,
      ).start();
    const idempotencyKey = request.headers[IDEMPOTENCY_HEADER];
    if (rule.kind === 'order' && typeof idempotencyKey === 'string') {
      const {method = '', url = ''} = request;
      const service = rule.service;
      const name = {service, idempotencyKey, method, url, body, dispatch};
      boundary.run(() => this.claim(name, rule, response, serveHere));
      return;
    }
    if (request.headers[HANDOVER_HEADER] !== undefined) {
      // Acknowledges receipt to the host that handed the request over.
      response.writeProcessing();
      serveHere();
      return;
    }
    const homeHost = this.selectHomeHost(runtime, dispatch, body);
    if (!homeHost) {
      serveHere();
      return;
    }
    const {name: service} = runtime.service;
    this.context.metrics.attempts.inc({service, kind: 'handover'});
    const handover = {...call, dispatch, body: bufferedBytes(body)};
    new HandoverSession(handover, homeHost, this.context, serveHere).start();
  }

  /** Serves an order if its claim wins; else replays or refuses it. */
  private async claim(
    name: OrderIdentity,
    rule: Rule,
    response: ServerResponse,
    serve: (recorder?: OrderRecorder) => void,
  ): Promise<void> {
    const {orders} = this.context;
    const {verdict, claim} = await orders.claim(toKeyedOrder(name));
    if (verdict.kind === 'replay') {
      replayResponse(response, verdict.answer);
      return;
    }
    if (verdict.kind === 'run' && claim) {
      if (response.destroyed) {
        // The caller disconnected before anything was sent: release the key.
        orders.settle(claim, {kind: 'released'});
        return;
      }
      serve(new OrderRecorder(orders, claim));
      return;
    }
    const reason =
      verdict.kind === 'refuse' ? verdict.reason : 'claims-unavailable';
    if (reason === 'claims-unavailable' && rule.claim === 'optional') {
      serve();
      return;
    }
    const outcome = CLAIM_REFUSAL_OUTCOMES[reason] ?? 'unknown';
    this.context.metrics.refusals.inc({service: rule.service, reason, outcome});
    sendProblem(response, {
      reason,
      outcome,
      retryAfterMs: CLAIM_RETRY_AFTER_MS,
    });
  }

  /**
   * Undefined for orders, whose outcome an extra hop could leave unknown, and
   * for streamed bodies, which cannot be sent again.
   */
  private selectHomeHost(
    runtime: ServiceRuntime,
    dispatch: DispatchRequest,
    body: RequestBody,
  ): HomeHost | undefined {
    if (!dispatch.repeatable || body.kind === 'stream') {
      return undefined;
    }
    const {name, homes} = runtime.service;
    return this.context.handovers.selectHomeHost(name, homes, dispatch.id);
  }

  private describe(
    {request: {headers}, waitedMs}: CallerCall,
    rule: Rule,
  ): DispatchRequest {
    const id = this.nextRequestId;
    this.nextRequestId += 1;
    const requestedMs = Number(headers[TIMEOUT_HEADER] ?? Infinity);
    const allowedMs =
      requestedMs >= 0 ? Math.min(rule.deadline, requestedMs) : rule.deadline;
    const repeatable = rule.kind === 'repeatable';
    const tenant = headers[this.context.tenantHeader];
    return {
      id,
      class: rule.class,
      tenant: typeof tenant === 'string' ? tenant : DEFAULT_TENANT,
      repeatable,
      deadlineAt: this.context.clock.now() - waitedMs + allowedMs,
      retries: repeatable ? rule.retries : 0,
      hedge: rule.hedge === 'on',
      depth: Number(headers[DEPTH_HEADER] ?? 0),
    };
  }

  private refuse(
    response: ServerResponse,
    reason: ProblemReason,
    detail?: string,
  ): void {
    this.context.metrics.refusals.inc({
      service: 'none',
      reason,
      outcome: 'not-run',
    });
    // The body that may follow must not be read as the next request.
    response.setHeader('connection', 'close');
    sendProblem(response, {reason, outcome: 'not-run', detail});
  }
}

function bufferedBytes(body: RequestBody): Buffer | null {
  return body.kind === 'held' ? body.bytes : null;
}

/** Answers requests that the HTTP parser rejects; nothing was forwarded. */
function refuseUnparsable(error: NodeJS.ErrnoException, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const status = PARSE_ERROR_STATUSES[error.code ?? ''] ?? '400 Bad Request';
  socket.end(
    `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\ncyclamenlever-outcome: not-run\r\n\r\n`,
  );
}
