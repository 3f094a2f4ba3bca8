/** One caller request from its head to its final answer. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {RequestAttempts} from '../decisions/attempts/index.js';
import type {Route, ServiceProfile} from '../decisions/routes/index.js';
import type {Placed, Refused} from '../decisions/scheduling/index.js';
import type {ProblemReason, RequestBody} from '../http/index.js';
import {BodyTooLargeError, sendProblem} from '../http/index.js';
import {HEADERS} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import type {
  AttemptResult,
  ForwardedRequest,
  StreamedResponse,
  BufferedResponse,
} from '../upstreams/index.js';
import {BodyReader} from './body_reader.js';
import {attemptEndOf, failureOf, isServerError} from './attempt_end.js';
import {CrashGuard} from './crash_guard.js';
import {forwardedRequest} from './forwarded_request.js';
import {streamResponse, writeResponse} from './response_writer.js';
import type {PlacementRequest} from './scheduler.js';
import {StallWatch} from './stall_watch.js';
import {refusalProblem} from './refusal_problem.js';
import type {GatewayContext} from './types.js';
import {UpstreamAttempt} from './upstream_attempt.js';

/** When to come back if no upstream could be reached. */
const UNREACHABLE_RETRY_AFTER_MS: Milliseconds = 150;
/** Time that a caller waits who doesn't say. */
const DEFAULT_TIMEOUT_MS: Milliseconds = 60_000;

/** A request whose body has arrived, and what its sends need. */
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
  private readonly attempts: UpstreamAttempt[] = [];
  private readonly bodyReader: BodyReader;
  private readonly controller = new AbortController();
  private timer: NodeJS.Timeout | undefined;
  private stallWatch: StallWatch | undefined;
  private guard: CrashGuard | undefined;
  private done = false;
  /** An upstream's own error, delivered if nothing better comes. */
  private upstreamError: BufferedResponse | undefined;
  /** Set when the scheduler refuses the request. */
  private refusal: Refused | undefined;
  /** Called when another upstream is wanted, or nothing more is. */
  private proceed: () => void = () => undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly route: Route,
    private readonly service: ServiceProfile,
    private readonly context: GatewayContext,
  ) {
    this.record = new RequestAttempts(route);
    this.bodyReader = new BodyReader(context.bodies);
    this.arrivedAt = context.clock.now();
    const asked = Number(request.headers[HEADERS.timeLeft] ?? NaN);
    const allowed = asked >= 0 ? asked : DEFAULT_TIMEOUT_MS;
    this.giveUpAt = this.arrivedAt + Math.min(route.timeoutMs, allowed);
    this.id = String(request.headers[HEADERS.requestId] ?? '');
  }

  /** Resolves when the request has its final answer or its caller left. */
  async run(): Promise<void> {
    this.timer = setTimeout(() => this.handleTimeout(), this.leftMs);
    this.response.once('close', () => this.handleCallerDisconnect());
    const body = await this.readBody();
    if (body && !this.done) {
      this.context.retries.noteFirstAttempt(this.service.name);
      await this.serve(body);
    }
  }

  private get leftMs(): Milliseconds {
    return Math.max(0, this.giveUpAt - this.context.clock.now());
  }

  private async readBody(): Promise<RequestBody | undefined> {
    const {state} = this.context;
    const mostBytes = state.routes.current?.limits.bodyBytes ?? Infinity;
    try {
      const {signal} = this.controller;
      const body = await this.bodyReader.read(this.request, mostBytes, signal);
      if (body?.kind === 'stream') {
        body.stream.once('error', error => this.refuseBody(error));
      }
      return body;
    } catch (error) {
      this.refuseBody(error);
      return undefined;
    }
  }

  private refuseBody(error: unknown): void {
    if (error instanceof BodyTooLargeError) {
      this.refuse('body-too-large');
    } else {
      // The caller is gone, and what arrived of the body was not a whole one.
      this.finish('body-broken');
    }
  }

  private async serve(body: RequestBody): Promise<void> {
    const {context, request, id, service} = this;
    const guard = new CrashGuard({context, request, body, id, service});
    this.guard = guard;
    const ready = {
      forwarded: forwardedRequest(request, id, body),
      guard,
      bodyHeld: body.kind !== 'stream',
    };
    while (!this.done) {
      // Asked twice: others may learn what it does while an upstream is sought.
      if (await this.refuseIfQuarantined(ready)) {
        return;
      }
      const placing = await context
        .schedulerOf(this.service.name)
        .place(this.placementRequest(), this.service, this.controller.signal);
      if (this.done) {
        return;
      }
      if (placing.kind === 'refused') {
        this.refusal = placing;
        this.deliverErrorOrRefuse(placing.reason, placing.retryAfterMs);
        return;
      }
      if (await this.refuseIfQuarantined(ready)) {
        return;
      }
      this.startAttempt(ready, placing);
      await new Promise<void>(resolve => (this.proceed = resolve));
    }
  }

  /** Refuses a request under which upstreams crash. */
  private async refuseIfQuarantined({guard}: ReadyRequest): Promise<boolean> {
    const quarantinedForMs = await guard.quarantinedForMs();
    if (quarantinedForMs !== undefined) {
      this.deliverErrorOrRefuse('quarantined', quarantinedForMs);
    }
    return this.done;
  }

  private placementRequest(): PlacementRequest {
    const {route, service, giveUpAt} = this;
    return {
      service: service.name,
      route: route.name,
      tried: this.record.tried,
      targetMs: route.targetMs,
      targetAt: this.arrivedAt + route.targetMs,
      giveUpAt,
      regions: route.regions,
    };
  }

  /** An upstream's own error says more than that no other could be had. */
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
    const {context, route, service, arrivedAt} = this;
    const {upstream, answer, answerAgeMs, expectedMs} = placed;
    this.record.noteSend(upstream.id);
    const send = new UpstreamAttempt({
      context,
      route,
      service: service.name,
      upstream,
      probeAnswer: answer,
      probeAnswerAgeMs: answerAgeMs,
      expectedMs,
      request: ready.forwarded,
      arrivedAt,
      timeLeftMs: this.leftMs,
    });
    this.attempts.push(send);
    this.stallWatch?.stop();
    this.stallWatch = new StallWatch({
      attempt: send,
      scheduler: context.schedulerOf(service.name),
      service,
      onStalled: () => void this.hedge(ready, send),
    });
    void send.waitForResult().then(result => {
      if (!this.done) {
        this.handleResult(result, send, ready);
      }
    });
  }

  /** Sends a lookup to a second upstream while its first is silent. */
  private async hedge(
    ready: ReadyRequest,
    pending: UpstreamAttempt,
  ): Promise<void> {
    const {schedulerOf, metrics, retries, options} = this.context;
    const mayRetry = retries.allows(this.service.name);
    const mayHedge = options.hedges && this.record.mayHedge;
    if (!ready.isBodyBuffered || !mayHedge || !mayRetry) {
      return;
    }
    const placing = await schedulerOf(this.service.name).place(
      this.placementRequest(),
      this.service,
      this.controller.signal,
    );
    // The first send goes on: its answer would show that the request is harmless.
    if ((await ready.guard.quarantinedForMs()) !== undefined) {
      return;
    }
    const isWanted = !this.done && pending.isPending && this.record.mayHedge;
    if (placing.kind === 'placed' && isWanted && this.trySpendRetry()) {
      metrics.countHedge();
      this.startAttempt(ready, placing);
    }
  }

  /** Carries out what follows from the end of a send. */
  private handleResult(
    result: AttemptResult,
    send: UpstreamAttempt,
    ready: ReadyRequest,
  ): void {
    if (result.kind === 'cancelled') {
      return;
    }
    if (result.kind === 'long') {
      this.streamResponse(result, send, ready.guard);
      return;
    }
    this.recordFailure(result, send.upstream.id);
    if (result.kind === 'broken') {
      ready.guard.reportBrokenAttempt(send.upstream);
    }
    // An upstream's own error may come from before it began the run.
    if (result.kind === 'answered' && !isServerError(result.status)) {
      ready.guard.reportResponse();
    }
    const step = this.record.handleEnd(attemptEndOf(result), {
      leftMs: this.leftMs,
      isBodyBuffered: ready.isBodyBuffered,
      trySpendRetry: () => this.trySpendRetry(),
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

  /** Remembers against the upstream what went wrong there. */
  private recordFailure(
    result: Exclude<AttemptResult, {kind: 'long' | 'cancelled'}>,
    id: string,
  ): void {
    const failure = failureOf(result);
    if (failure) {
      this.context.upstreamClient.outcomes.failed(id, failure);
    }
    if (result.kind === 'answered') {
      this.upstreamError = failure ? result : this.upstreamError;
      return;
    }
    const reason = result.kind === 'broken' ? 'broken' : result.reason;
    this.context.log.logFailure(
      {
        event: 'attempt',
        request: this.id,
        upstream: id,
        reason,
        detail: result.detail,
      },
      'attempt failed',
    );
  }

  private trySpendRetry(): boolean {
    const {retries, metrics} = this.context;
    const granted = retries.trySpend(this.service.name);
    if (!granted) {
      metrics.countRefusedRetry();
    }
    return granted;
  }

  private deliver(answer: BufferedResponse): void {
    if (!this.done) {
      writeResponse(this.response, answer);
      this.finish(`answered-${answer.status}`);
    }
  }

  private streamResponse(
    answer: StreamedResponse,
    {upstream}: UpstreamAttempt,
    guard: CrashGuard,
  ): void {
    streamResponse(this.response, answer, {
      onComplete: () => guard.reportResponse(),
      onTruncated: () => guard.reportBrokenAttempt(upstream),
    });
    this.finish(`answered-${answer.status}`);
  }

  /** The time is over: says so at once, and what is certain. */
  private handleTimeout(): void {
    if (this.upstreamError) {
      this.deliver(this.upstreamError);
      return;
    }
    if (this.record.outcome === 'unknown') {
      this.refuse('attempt-timed-out');
    } else {
      this.refuse('waited-too-long', UNREACHABLE_RETRY_AFTER_MS);
    }
  }

  private refuse(reason: ProblemReason, retryAfterMs?: Milliseconds): void {
    if (this.done) {
      return;
    }
    const problem = refusalProblem(this.record.outcome, reason, retryAfterMs);
    if (!this.request.complete) {
      // What is left of the body must not be read as the next request.
      this.response.setHeader('connection', 'close');
    }
    sendProblem(this.response, problem);
    this.finish(problem.reason);
  }

  private handleCallerDisconnect(): void {
    this.finish('caller-left');
  }

  private finish(outcome: string): void {
    if (this.done) {
      return;
    }
    this.done = true;
    clearTimeout(this.timer);
    this.stallWatch?.stop();
    this.controller.abort();
    this.attempts.forEach(send => send.cancel());
    this.logEnd(outcome);
    this.bodyReader.release();
    this.proceed();
  }

  private logEnd(outcome: string): void {
    const {log, state, metrics, clock} = this.context;
    const elapsedMs = clock.now() - this.arrivedAt;
    metrics.countRequest(this.route.rank, outcome, elapsedMs);
    const fields = {
      event: 'request',
      request: this.id,
      route: this.route.name,
      service: this.service.name,
      outcome,
      ms: Math.round(elapsedMs),
      leftMs: Math.round(this.leftMs),
      targetMs: this.route.targetMs,
      fingerprint: this.guard?.fingerprint,
      sends: this.attempts.map(({logEntry: entry}) => entry),
      told: this.refusal?.told,
      limits: undefinedIfEmpty(this.refusal?.blockers.limits),
      backoffs: undefinedIfEmpty(this.refusal?.blockers.backoffs),
      version: state.routes.version,
      ageMs: Math.round(state.ageMs),
    };
    if (outcome === 'answered-200') {
      log.logSuccess(fields, 'request ended');
    } else {
      log.logFailure(fields, 'request ended');
    }
  }
}

/** Empty lists become undefined, which log lines omit. */
function undefinedIfEmpty<T>(
  list: readonly T[] = [],
): readonly T[] | undefined {
  return list.length > 0 ? list : undefined;
}
