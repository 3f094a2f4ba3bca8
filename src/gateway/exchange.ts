/** Handles one caller request until its final response. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Customer} from '../decisions/customers/index.js';
import {RequestAttempts} from '../decisions/attempts/index.js';
import {sendingTimeLeft} from '../decisions/stopping/index.js';
import type {Route, ServiceProfile} from '../decisions/routes/index.js';
import type {
  Placed,
  Refused,
  SchedulingResult,
} from '../decisions/scheduling/index.js';
import type {BodyInput, ProblemReason, RequestBody} from '../http/index.js';
import {
  BodyTooLargeError,
  BodyTruncatedError,
  discardBody,
} from '../http/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import {HEADERS, readTimeLeft} from '../platform/index.js';
import type {CallerCall} from '../servers/index.js';
import type {Milliseconds} from '../time/index.js';
import type {
  AttemptResult,
  ForwardedRequest,
  StreamedResponse,
  BufferedResponse,
} from '../upstreams/index.js';
import {BodyReader} from './body_reader.js';
import type {EndedAttempt} from './attempt_end.js';
import {
  attemptEndOf,
  failureOf,
  isServerError,
  logFailedAttempt,
  withoutUnprovenPromise,
} from './attempt_end.js';
import {CrashGuard} from './crash_guard.js';
import type {Sender} from './forwarded_request.js';
import {forwardedRequest} from './forwarded_request.js';
import {RequestAdmission} from './request_admission.js';
import {recordRequestEnd} from './request_end.js';
import {UpstreamAttempts} from './upstream_attempts.js';
import {ResponseDelivery} from './response_delivery.js';
import {refusalProblem} from './refusal_problem.js';
import type {GatewayContext} from './types.js';
import type {UpstreamAttempt} from './upstream_attempt.js';

/** Retry-After of a request for which no upstream could be reached. */
const UNREACHABLE_RETRY_AFTER_MS: Milliseconds = 150;
/** Retry-After of a host that shuts down: callers retry at another host. */
export const STOPPING_RETRY_AFTER_MS: Milliseconds = 20;

/** A request whose body has been read, ready for attempts. */
interface ReadyRequest {
  readonly forwarded: ForwardedRequest;
  readonly guard: CrashGuard;
  readonly isBodyBuffered: boolean;
}

export class Exchange {
  private readonly arrivedAt: Milliseconds;
  private readonly giveUpAt: Milliseconds;
  private readonly id: string;
  private readonly record: RequestAttempts;
  private readonly attempts: UpstreamAttempts;
  private readonly delivery: ResponseDelivery;
  private readonly bodyReader: BodyReader;
  private readonly admission: RequestAdmission;
  private readonly controller = new AbortController();
  private timer: NodeJS.Timeout | undefined;
  private sendingTimer: NodeJS.Timeout | undefined;
  /** Whether the response to a further attempt would come after the host has ended. */
  private isTooLate = false;
  private guard: CrashGuard | undefined;
  private done = false;
  /** The attempt whose response is passed on while it arrives. */
  private streaming: UpstreamAttempt | undefined;
  /** An upstream's 5xx response, delivered if no attempt does better. */
  private upstreamError: BufferedResponse | undefined;
  /** Set when the scheduler refuses the request. */
  private refusal: Refused | undefined;
  /** Resumes `serve` for a retry, or when the exchange is done. */
  private proceed: () => void = () => undefined;

  /** An error in the handling of a request ends it, and no other. */
  private readonly boundary = new ErrorBoundary(error => this.fail(error));
  private readonly request: IncomingMessage;
  private readonly input: BodyInput;
  private readonly response: ServerResponse;

  constructor(
    {request, response, input, waitedMs, noteWritten}: CallerCall,
    private readonly route: Route,
    private readonly service: ServiceProfile,
    private readonly customer: Customer | undefined,
    private readonly context: GatewayContext,
  ) {
    this.request = request;
    this.input = input;
    this.response = response;
    this.record = new RequestAttempts(route);
    this.bodyReader = new BodyReader(context.bodies, this.boundary, input);
    this.arrivedAt = context.clock.now() - waitedMs;
    const timeoutMs = Math.min(route.timeoutMs, readTimeLeft(request.headers));
    this.giveUpAt = this.arrivedAt + timeoutMs;
    this.id = String(request.headers[HEADERS.requestId] ?? '');
    const {arrivedAt, giveUpAt, boundary} = this;
    const parts = {context, route, service, arrivedAt, giveUpAt, boundary};
    this.admission = new RequestAdmission({...parts, response, customer});
    this.attempts = new UpstreamAttempts(parts);
    this.delivery = new ResponseDelivery({
      request,
      response,
      boundary,
      noteWritten,
    });
  }

  /** Starts to serve the request, until a response is sent or the caller disconnects. */
  run(): void {
    const {boundary} = this;
    this.timer = setTimeout(
      boundary.wrap(() => this.handleTimeout()),
      this.leftMs,
    );
    boundary.listenOnce(this.response, 'close', () =>
      this.finish('caller-left'),
    );
    boundary.run(() => this.readAndServe());
  }

  private async readAndServe(): Promise<void> {
    const body = await this.readBody();
    if (body && (await this.isAdmitted())) {
      this.context.retries.noteFirstAttempt(this.service.name);
      await this.serve(body);
    }
  }

  private fail(error: unknown): void {
    this.context.reportError(error, {request: this.id});
    try {
      this.refuse('internal-error');
    } catch {
      // Its end could not be recorded; the caller must hear of it all the same.
      this.delivery.abort();
    }
  }

  private get leftMs(): Milliseconds {
    return Math.max(0, this.giveUpAt - this.context.clock.now());
  }

  private async readBody(): Promise<RequestBody | undefined> {
    const {state} = this.context;
    const maxBytes = state.routes.current?.limits.bodyBytes ?? Infinity;
    try {
      const {signal} = this.controller;
      const body = await this.bodyReader.read(this.request, maxBytes, signal);
      if (body?.kind === 'stream') {
        this.boundary.listenOnce(body.stream, 'error', (error: Error) =>
          this.refuseBody(error),
        );
      }
      return body;
    } catch (error) {
      this.refuseBody(error);
      return undefined;
    }
  }

  private refuseBody(error: unknown): void {
    if (this.streaming) {
      return;
    }
    if (error instanceof BodyTooLargeError) {
      this.refuse('body-too-large');
    } else if (error instanceof BodyTruncatedError) {
      this.finish('body-broken');
    } else {
      this.fail(error);
    }
  }

  /** Refuses a request that is over quota or shed, or a download for which the host is too busy. */
  private async isAdmitted(): Promise<boolean> {
    if (this.done) {
      return false;
    }
    const refusal = await this.admission.admit();
    if (refusal) {
      this.refuse(refusal.kind, refusal.retryAfterMs);
    }
    if (this.done) {
      // The caller may have left while the quota was checked.
      this.admission.release();
    }
    return !this.done;
  }

  private async serve(body: RequestBody): Promise<void> {
    const {context, request, id, service} = this;
    const sender: Sender = {
      customer: this.customer?.name,
      hasKeys: !context.state.customers.isEmpty,
    };
    const guard = new CrashGuard({context, request, body, id, service, sender});
    this.guard = guard;
    const ready = {
      forwarded: forwardedRequest(request, id, body, sender),
      guard,
      isBodyBuffered: body.kind !== 'stream',
    };
    while (!this.done) {
      if (this.isTooLate) {
        this.refuseStopping();
        return;
      }
      const placed = await this.place(ready);
      if (!placed) {
        return;
      }
      this.startAttempt(ready, placed);
      await new Promise<void>(resolve => (this.proceed = resolve));
    }
  }

  /** Chooses an upstream; undefined if the request has ended, or was refused. */
  private async place(ready: ReadyRequest): Promise<Placed | undefined> {
    // Checked twice: other hosts may report crashes while an upstream is selected.
    if (await this.refuseIfQuarantined(ready)) {
      return undefined;
    }
    const {signal} = this.controller;
    const placing = await this.admission.place(
      () => this.schedule(signal),
      signal,
    );
    if (this.done) {
      return undefined;
    }
    if (placing.kind === 'refused') {
      this.refusal = placing;
      this.deliverErrorOrRefuse(placing.reason, placing.retryAfterMs);
      return undefined;
    }
    return (await this.refuseIfQuarantined(ready)) ? undefined : placing;
  }

  private schedule(signal: AbortSignal): Promise<SchedulingResult> {
    const {service, admission, context} = this;
    const request = admission.placementRequest(this.record.tried);
    return context.schedulerOf(service.name).place(request, service, signal);
  }

  /** Refuses a request under which upstreams crash; returns whether it is done. */
  private async refuseIfQuarantined({guard}: ReadyRequest): Promise<boolean> {
    const quarantinedForMs = await guard.quarantinedForMs();
    if (quarantinedForMs !== undefined) {
      this.deliverErrorOrRefuse('quarantined', quarantinedForMs);
    }
    return this.done;
  }

  /** Prefers an upstream's 5xx response: it says more than a refusal. */
  private deliverErrorOrRefuse(
    reason: ProblemReason,
    retryAfterMs?: Milliseconds,
  ): void {
    if (this.upstreamError) {
      this.deliver(this.upstreamError);
    } else {
      this.refuse(reason, retryAfterMs);
    }
  }

  private startAttempt(ready: ReadyRequest, placed: Placed): void {
    this.record.noteSend(placed.upstream.id);
    this.admission.notePlaced();
    this.attempts.start(ready.forwarded, placed, {
      onStalled: attempt => this.hedge(ready, attempt),
      onResult: (result, attempt) => {
        if (!this.done) {
          const {repeatable} = this.route;
          const told = repeatable ? result : withoutUnprovenPromise(result);
          this.handleResult(told, attempt, ready);
        }
      },
    });
  }

  /** Sends a hedged request while the pending attempt is stalled. */
  private async hedge(
    ready: ReadyRequest,
    pending: UpstreamAttempt,
  ): Promise<void> {
    const {metrics, retries, options} = this.context;
    const mayRetry =
      this.admission.mayRepeat(this.record.outcome) &&
      retries.allows(this.service.name);
    const mayHedge = options.hedges && this.record.mayHedge;
    if (!ready.isBodyBuffered || !mayHedge || !mayRetry) {
      return;
    }
    const placing = await this.schedule(this.controller.signal);
    // The first attempt goes on: its response would show that the request is harmless.
    if ((await ready.guard.quarantinedForMs()) !== undefined) {
      return;
    }
    const isWanted = !this.done && pending.isPending && this.record.mayHedge;
    if (
      placing.kind === 'placed' &&
      isWanted &&
      !this.isTooLate &&
      this.admission.trySpendRetry(this.record.outcome)
    ) {
      metrics.countHedge();
      this.startAttempt(ready, placing);
    }
  }

  /** Delivers, retries or refuses after an attempt has ended. */
  private handleResult(
    result: AttemptResult,
    attempt: UpstreamAttempt,
    ready: ReadyRequest,
  ): void {
    if (result.kind === 'cancelled' || this.streaming) {
      return;
    }
    if (result.kind === 'long') {
      this.streamResponse(result, attempt, ready.guard);
      return;
    }
    this.recordFailure(result, attempt.upstream.id);
    if (result.kind === 'broken') {
      ready.guard.reportBrokenAttempt(attempt.upstream);
    }
    // An upstream may respond with 5xx without having begun to run the request.
    if (result.kind === 'answered' && !isServerError(result.status)) {
      ready.guard.reportResponse();
    }
    const step = this.record.handleEnd(attemptEndOf(result), {
      leftMs: this.leftMs,
      isBodyBuffered: ready.isBodyBuffered,
      trySpendRetry: () => this.admission.trySpendRetry(this.record.outcome),
    });
    switch (step.kind) {
      case 'deliver':
        if (result.kind === 'answered') {
          this.deliver(result);
        }
        return;
      case 'repeat':
        this.proceed();
        return;
      case 'await-other':
        return;
      case 'refuse':
        this.deliverErrorOrRefuse(
          step.reason,
          this.record.outcome === 'not-run'
            ? UNREACHABLE_RETRY_AFTER_MS
            : undefined,
        );
        return;
      default:
        step satisfies never;
    }
  }

  /** Records a failure for the upstream, and logs it. */
  private recordFailure(result: EndedAttempt, id: string): void {
    const failure = failureOf(result);
    if (failure) {
      this.context.upstreamClient.outcomes.failed(id, failure);
    }
    if (result.kind === 'answered') {
      this.upstreamError = failure ? result : this.upstreamError;
      return;
    }
    logFailedAttempt(this.context, this.id, id, result);
  }

  private deliver(upstreamResponse: BufferedResponse): void {
    if (!this.done) {
      this.delivery.send(upstreamResponse);
      this.finish(`answered-${upstreamResponse.status}`);
    }
  }

  /** Its timeout still holds: a response that stops or has no end must end as well. */
  private streamResponse(
    upstreamResponse: StreamedResponse,
    attempt: UpstreamAttempt,
    guard: CrashGuard,
  ): void {
    const {upstream} = attempt;
    this.streaming = attempt;
    this.endAttempts();
    this.delivery.stream(upstreamResponse, {
      onComplete: () => {
        guard.reportResponse();
        this.finish(`answered-${upstreamResponse.status}`);
      },
      onTruncated: () => {
        guard.reportBrokenAttempt(upstream);
        this.context.upstreamClient.outcomes.failed(upstream.id, 'broken');
        this.finish('response-truncated');
      },
    });
  }

  /** A caller that reads slowly is no failure of the upstream. */
  private abortStream({upstream}: UpstreamAttempt): void {
    if (!this.delivery.isBehind) {
      this.context.upstreamClient.outcomes.failed(upstream.id, 'broken');
    }
    this.finish('response-timed-out');
    this.delivery.abort();
  }

  /** Responds at the deadline, and says whether the request may have run. */
  private handleTimeout(): void {
    this.delivery.noteTimeout();
    if (this.streaming) {
      this.abortStream(this.streaming);
      return;
    }
    this.deliverErrorOrRefuse('waited-too-long', UNREACHABLE_RETRY_AFTER_MS);
  }

  /**
   * The host ends: a request that isn't at an upstream is refused once its response could not
   * be waited for.
   *
   * @param respondAt when `abandon` will be called
   */
  finishBy(respondAt: Milliseconds): void {
    const {context, route, boundary} = this;
    const workMs = context.work.ofRoute(route.name, route.targetMs);
    const leftMs = respondAt - context.clock.now();
    this.sendingTimer = setTimeout(
      boundary.wrap(() => {
        this.isTooLate = true;
        if (!this.attempts.isPending) {
          this.abandon();
        }
      }),
      sendingTimeLeft(leftMs, workMs),
    );
  }

  /** Responds at once, as the host is about to end; a response that is being sent goes on. */
  abandon(): void {
    if (!this.streaming) {
      this.boundary.run(() => this.refuseStopping());
    }
  }

  /** Ends a response that is being passed on, so that it doesn't look complete. */
  abort(): void {
    if (this.streaming && !this.done) {
      this.delivery.abort();
    }
  }

  private refuseStopping(): void {
    this.deliverErrorOrRefuse('not-ready', STOPPING_RETRY_AFTER_MS);
  }

  private refuse(reason: ProblemReason, retryAfterMs?: Milliseconds): void {
    if (this.done) {
      return;
    }
    const problem = refusalProblem(this.record.outcome, reason, retryAfterMs);
    this.delivery.refuse(problem);
    this.finish(problem.reason);
  }

  /** No further attempt is started, and those that are pending are cancelled. */
  private endAttempts(): void {
    this.controller.abort();
    this.attempts.cancel();
  }

  private finish(outcome: string): void {
    if (this.done) {
      return;
    }
    this.done = true;
    if (this.record.outcome === 'not-run') {
      this.admission.release();
    }
    clearTimeout(this.timer);
    clearTimeout(this.sendingTimer);
    this.endAttempts();
    this.admission.settleRetries();
    this.bodyReader.release();
    discardBody(this.request, this.response, this.boundary, this.input);
    this.proceed();
    recordRequestEnd(this.context, {
      id: this.id,
      route: this.route,
      service: this.service.name,
      outcome,
      arrivedAt: this.arrivedAt,
      leftMs: this.leftMs,
      admission: this.admission.logFields,
      fingerprint: this.guard?.fingerprint,
      attempts: this.attempts.started,
      refusal: this.refusal,
    });
  }
}
