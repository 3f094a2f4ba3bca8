/** Serves one caller request, from its head to its final outcome. */

import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import type {Rule, Upstream} from '../decisions/configuration/index.js';
import type {
  DispatchDecision,
  DispatchRequest,
} from '../decisions/dispatch/index.js';
import type {RequestOutcome} from '../metrics/index.js';
import type {RequestHandler, ServiceRuntime} from '../service/index.js';
import {connectionShare} from '../service/index.js';
import type {Milliseconds} from '../time/index.js';
import {Attempt} from './attempt.js';
import {DEPTH_HEADER, TIMEOUT_HEADER} from '../http/index.js';
import {responseHeaders, requestHeaders} from './headers.js';
import type {OrderRecorder} from './order_recorder.js';
import type {Problem} from '../http/index.js';
import {sendProblem} from '../http/index.js';
import type {RequestBody} from '../http/index.js';
import type {IncomingCall} from '../servers/index.js';
import type {CallerContext} from './types.js';

export class CallerSession implements RequestHandler {
  private readonly attempts = new Map<number, Attempt>();
  private readonly startedAt: Milliseconds;
  private readonly forwardedHeaders: readonly string[];
  private timer: NodeJS.Timeout | undefined;
  /** The attempt whose response is sent to the caller. */
  private deliveredAttempt: Attempt | undefined;
  private finished = false;
  /** Whether any attempt was passed to the transport. */
  private sent = false;

  constructor(
    private readonly call: IncomingCall,
    private readonly runtime: ServiceRuntime,
    private readonly rule: Rule,
    private readonly dispatch: DispatchRequest,
    private readonly body: RequestBody,
    private readonly context: CallerContext,
    private readonly recorder?: OrderRecorder,
  ) {
    this.startedAt = context.clock.now();
    this.forwardedHeaders = requestHeaders(call.request.rawHeaders);
  }

  private get response(): ServerResponse {
    return this.call.response;
  }

  start(): void {
    const {boundary} = this.call;
    const remainingMs = this.dispatch.deadlineAt - this.context.clock.now();
    this.timer = setTimeout(
      boundary.wrap(() => this.expire()),
      Math.max(0, remainingMs),
    );
    boundary.listen(this.response, 'close', () => this.callerClosed());
    this.runtime.submit(this.dispatch, this);
  }

  send(number: number, upstream: Upstream, hedged: boolean): void {
    const kind = hedged ? 'hedge' : number === 0 ? 'first' : 'retry';
    const service = this.runtime.service.name;
    this.context.metrics.attempts.inc({service, kind});
    this.sent = true;
    const attempt = new Attempt(this, number);
    this.attempts.set(number, attempt);
    const connections = connectionShare(upstream, this.context.maxHosts);
    attempt.handle = this.context.transport.send(
      {
        address: upstream.at,
        method: this.call.request.method ?? 'GET',
        path: this.call.request.url ?? '/',
        headers: this.attemptHeaders(),
        body: payloadOf(this.body),
      },
      connections,
      attempt,
    );
  }

  cancel(number: number): void {
    const attempt = this.attempts.get(number);
    this.attempts.delete(number);
    attempt?.handle?.cancel();
    if (attempt && attempt === this.deliveredAttempt) {
      // Cancelled after its response began: the deadline passed.
      this.abortResponse();
    }
  }

  deliverError(number: number): void {
    const attempt = this.attempts.get(number);
    if (attempt) {
      this.deliver(attempt);
      attempt.handle?.resume();
    }
  }

  refuse(decision: Extract<DispatchDecision, {kind: 'refuse'}>): void {
    const {reason, outcome, retryAfterMs} = decision;
    this.finishWith({reason, outcome, retryAfterMs});
  }

  /** Sends a response on to the caller unless it is a 5xx. */
  responseStarted(attempt: Attempt): void {
    const id = {requestId: this.dispatch.id, attempt: attempt.number};
    if (attempt.head && attempt.head.status >= 500) {
      this.handleErrorResponse(attempt);
      return;
    }
    this.runtime.handleEvent({kind: 'started', ...id});
    this.deliver(attempt);
  }

  responseChunk(attempt: Attempt, chunk: Buffer): void {
    if (attempt !== this.deliveredAttempt) {
      return;
    }
    this.recorder?.add(chunk);
    if (!this.response.write(chunk)) {
      attempt.handle?.pause();
      this.call.boundary.listenOnce(this.response, 'drain', () =>
        attempt.handle?.resume(),
      );
    }
  }

  responseEnded(attempt: Attempt): void {
    this.attempts.delete(attempt.number);
    this.runtime.handleEvent({
      kind: 'answered',
      requestId: this.dispatch.id,
      attempt: attempt.number,
      load: attempt.load,
    });
    if (attempt === this.deliveredAttempt) {
      this.response.end();
      this.finish('answered');
    }
  }

  attemptFailed(attempt: Attempt, sent: boolean, error: Error): void {
    this.attempts.delete(attempt.number);
    const committed = attempt === this.deliveredAttempt;
    this.context.logger.debug(
      {
        service: this.runtime.service.name,
        request: this.dispatch.id,
        sent,
        committed,
        error: error.message,
      },
      'attempt failed',
    );
    this.runtime.handleEvent({
      kind: 'failed',
      failure: sent ? 'broken' : 'unsent',
      requestId: this.dispatch.id,
      attempt: attempt.number,
      committed,
      bodyDiscarded: sent && this.body.kind === 'stream',
    });
    if (committed) {
      this.abortResponse();
    }
  }

  /**
   * Pauses a 5xx response while the dispatch decides whether another attempt
   * may succeed. If not, it is delivered; otherwise its connection is closed.
   */
  private handleErrorResponse(attempt: Attempt): void {
    attempt.handle?.pause();
    const shed =
      this.runtime.service.shed === 'trusted' && attempt.reportsNotRun();
    this.runtime.handleEvent({
      kind: 'failed',
      failure: shed ? 'shed' : 'error',
      requestId: this.dispatch.id,
      attempt: attempt.number,
      load: attempt.load,
      bodyDiscarded: this.body.kind === 'stream',
    });
    if (attempt !== this.deliveredAttempt) {
      this.attempts.delete(attempt.number);
      attempt.handle?.cancel();
    }
  }

  private deliver(attempt: Attempt): void {
    if (!attempt.head || this.response.destroyed) {
      return;
    }
    this.recorder?.begin(attempt.head);
    this.deliveredAttempt = attempt;
    const {status, headers} = attempt.head;
    this.response.writeHead(status, responseHeaders(headers));
  }

  /**
   * Closes the caller's connection: the response began but cannot be completed,
   * and only an early close shows that to the caller.
   */
  private abortResponse(): void {
    if (!this.response.writableFinished) {
      this.response.destroy();
    }
    this.finish('unknown');
  }

  private finishWith(problem: Problem): void {
    this.context.metrics.refusals.inc({
      service: this.runtime.service.name,
      reason: problem.reason,
      outcome: problem.outcome,
    });
    sendProblem(this.response, problem);
    this.finish(problem.outcome);
  }

  private expire(): void {
    this.runtime.handleEvent({kind: 'expired', requestId: this.dispatch.id});
    // The dispatch no longer tracks an error response that is being delivered.
    if (!this.finished) {
      this.abortResponse();
    }
  }

  private callerClosed(): void {
    if (this.response.writableFinished) {
      return;
    }
    this.runtime.handleEvent({kind: 'abandoned', requestId: this.dispatch.id});
    this.finish('abandoned');
  }

  private finish(outcome: RequestOutcome): void {
    if (this.finished) {
      return;
    }
    this.finished = true;
    clearTimeout(this.timer);
    this.recorder?.settle(this.sent ? outcome : 'not-run');
    this.runtime.removeHandler(this.dispatch.id);
    this.attempts.forEach(attempt => attempt.handle?.cancel());
    this.attempts.clear();
    this.context.metrics.observeRequest(
      {service: this.rule.service, class: this.rule.class, outcome},
      this.dispatch.tenant,
      this.context.clock.now() - this.startedAt,
    );
  }

  private attemptHeaders(): string[] {
    const remainingMs = this.dispatch.deadlineAt - this.context.clock.now();
    return [
      ...this.forwardedHeaders,
      TIMEOUT_HEADER,
      String(Math.max(0, Math.floor(remainingMs))),
      DEPTH_HEADER,
      String(this.dispatch.depth + 1),
    ];
  }
}

function payloadOf(body: RequestBody): Buffer | Readable | null {
  switch (body.kind) {
    case 'none':
      return null;
    case 'held':
      return body.bytes;
    case 'stream':
      return body.stream;
    default:
      return body satisfies never;
  }
}
