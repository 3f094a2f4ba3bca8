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
  LongAnswer,
  WholeAnswer,
} from '../upstreams/index.js';
import {BodyIntake} from './body_intake.js';
import {endOf, failureOf, isServerError} from './attempt_end.js';
import {CrashGuard} from './crash_guard.js';
import {forwardedRequest} from './forwarded_request.js';
import {streamLong, writeWhole} from './reply.js';
import type {WantedPlacement} from './scheduler.js';
import {StallWatch} from './stall_watch.js';
import {truthfulProblem} from './truthful_problem.js';
import type {GatewayContext} from './types.js';
import {UpstreamSend} from './upstream_send.js';

/** When to come back if no upstream could be reached. */
const UNREACHABLE_RETRY_MS: Milliseconds = 150;
/** Time that a caller waits who doesn't say. */
const DEFAULT_TIME_MS: Milliseconds = 60_000;

/** A request whose body has arrived, and what its sends need. */
interface ReadyRequest {
  readonly forwarded: ForwardedRequest;
  readonly guard: CrashGuard;
  readonly bodyHeld: boolean;
}

export class Exchange {
  private readonly arrivedAt: Milliseconds;
  private readonly giveUpAt: Milliseconds;
  private readonly id: string;
  private readonly record: RequestAttempts;
  private readonly sends: UpstreamSend[] = [];
  private readonly intake: BodyIntake;
  private readonly ended = new AbortController();
  private timer: NodeJS.Timeout | undefined;
  private watch: StallWatch | undefined;
  private guard: CrashGuard | undefined;
  private done = false;
  /** An upstream's own error, delivered if nothing better comes. */
  private failure: WholeAnswer | undefined;
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
    this.intake = new BodyIntake(context.bodies);
    this.arrivedAt = context.clock.now();
    const asked = Number(request.headers[HEADERS.timeLeft] ?? NaN);
    const allowed = asked >= 0 ? asked : DEFAULT_TIME_MS;
    this.giveUpAt = this.arrivedAt + Math.min(route.timeoutMs, allowed);
    this.id = String(request.headers[HEADERS.requestId] ?? '');
  }

  /** Resolves when the request has its final answer or its caller left. */
  async run(): Promise<void> {
    this.timer = setTimeout(() => this.expire(), this.leftMs);
    this.response.once('close', () => this.callerClosed());
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
      const {signal} = this.ended;
      const body = await this.intake.read(this.request, mostBytes, signal);
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
      if (await this.isHeldBack(ready)) {
        return;
      }
      const placing = await context
        .schedulerOf(this.service.name)
        .place(this.wanted(), this.service, this.ended.signal);
      if (this.done) {
        return;
      }
      if (placing.kind === 'refused') {
        this.refusal = placing;
        this.refuseOrFail(placing.reason, placing.retryAfterMs);
        return;
      }
      if (await this.isHeldBack(ready)) {
        return;
      }
      this.send(ready, placing);
      await new Promise<void>(resolve => (this.proceed = resolve));
    }
  }

  /** Refuses a request under which upstreams crash. */
  private async isHeldBack({guard}: ReadyRequest): Promise<boolean> {
    const heldMs = await guard.heldForMs();
    if (heldMs !== undefined) {
      this.refuseOrFail('quarantined', heldMs);
    }
    return this.done;
  }

  private wanted(): WantedPlacement {
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
  private refuseOrFail(
    reason: ProblemReason,
    retryAfterMs?: Milliseconds,
  ): void {
    if (this.failure) {
      this.deliver(this.failure);
    } else {
      this.refuse(reason, retryAfterMs);
    }
  }

  private send(ready: ReadyRequest, placed: Placed): void {
    const {context, route, service, arrivedAt} = this;
    const {upstream, answer, answerAgeMs, expectedMs} = placed;
    this.record.noteSend(upstream.id);
    const send = new UpstreamSend({
      context,
      route,
      service: service.name,
      upstream,
      told: answer,
      toldAgeMs: answerAgeMs,
      expectedMs,
      request: ready.forwarded,
      arrivedAt,
      timeLeftMs: this.leftMs,
    });
    this.sends.push(send);
    this.watch?.stop();
    this.watch = new StallWatch({
      send,
      scheduler: context.schedulerOf(service.name),
      service,
      onDoubt: () => void this.hedge(ready, send),
    });
    void send.end().then(result => {
      if (!this.done) {
        this.judge(result, send, ready);
      }
    });
  }

  /** Sends a lookup to a second upstream while its first is silent. */
  private async hedge(
    ready: ReadyRequest,
    silent: UpstreamSend,
  ): Promise<void> {
    const {schedulerOf, metrics, retries, options} = this.context;
    const mayRepeat = retries.allows(this.service.name);
    const mayHedge = options.hedges && this.record.mayHedge;
    if (!ready.bodyHeld || !mayHedge || !mayRepeat) {
      return;
    }
    const placing = await schedulerOf(this.service.name).place(
      this.wanted(),
      this.service,
      this.ended.signal,
    );
    // The first send goes on: its answer would show that the request is harmless.
    if ((await ready.guard.heldForMs()) !== undefined) {
      return;
    }
    const isWanted = !this.done && silent.isPending && this.record.mayHedge;
    if (placing.kind === 'placed' && isWanted && this.spendRepeat()) {
      metrics.countHedge();
      this.send(ready, placing);
    }
  }

  /** Carries out what follows from the end of a send. */
  private judge(
    result: AttemptResult,
    send: UpstreamSend,
    ready: ReadyRequest,
  ): void {
    if (result.kind === 'cancelled') {
      return;
    }
    if (result.kind === 'long') {
      this.passOn(result, send, ready.guard);
      return;
    }
    this.noteFailure(result, send.upstream.id);
    if (result.kind === 'broken') {
      ready.guard.noteBroken(send.upstream);
    }
    // An upstream's own error may come from before it began the run.
    if (result.kind === 'answered' && !isServerError(result.status)) {
      ready.guard.noteAnswer();
    }
    const step = this.record.handleEnd(endOf(result), {
      leftMs: this.leftMs,
      isBodyBuffered: ready.bodyHeld,
      trySpendRetry: () => this.spendRepeat(),
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
        this.refuseOrFail(
          step.reason,
          this.record.outcome === 'not-run' ? UNREACHABLE_RETRY_MS : undefined,
        );
        return;
      default:
        step satisfies never;
    }
  }

  /** Remembers against the upstream what went wrong there. */
  private noteFailure(
    result: Exclude<AttemptResult, {kind: 'long' | 'cancelled'}>,
    id: string,
  ): void {
    const failure = failureOf(result);
    if (failure) {
      this.context.desk.outcomes.failed(id, failure);
    }
    if (result.kind === 'answered') {
      this.failure = failure ? result : this.failure;
      return;
    }
    const reason = result.kind === 'broken' ? 'broken' : result.reason;
    this.context.log.failed(
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

  private spendRepeat(): boolean {
    const {retries, metrics} = this.context;
    const granted = retries.trySpend(this.service.name);
    if (!granted) {
      metrics.countRefusedRepeat();
    }
    return granted;
  }

  private deliver(answer: WholeAnswer): void {
    if (!this.done) {
      writeWhole(this.response, answer);
      this.finish(`answered-${answer.status}`);
    }
  }

  private passOn(
    answer: LongAnswer,
    {upstream}: UpstreamSend,
    guard: CrashGuard,
  ): void {
    streamLong(this.response, answer, {
      onWhole: () => guard.noteAnswer(),
      onCut: () => guard.noteBroken(upstream),
    });
    this.finish(`answered-${answer.status}`);
  }

  /** The time is over: says so at once, and what is certain. */
  private expire(): void {
    if (this.failure) {
      this.deliver(this.failure);
      return;
    }
    if (this.record.outcome === 'unknown') {
      this.refuse('attempt-timed-out');
    } else {
      this.refuse('waited-too-long', UNREACHABLE_RETRY_MS);
    }
  }

  private refuse(reason: ProblemReason, retryAfterMs?: Milliseconds): void {
    if (this.done) {
      return;
    }
    const problem = truthfulProblem(this.record.outcome, reason, retryAfterMs);
    if (!this.request.complete) {
      // What is left of the body must not be read as the next request.
      this.response.setHeader('connection', 'close');
    }
    sendProblem(this.response, problem);
    this.finish(problem.reason);
  }

  private callerClosed(): void {
    this.finish('caller-left');
  }

  private finish(outcome: string): void {
    if (this.done) {
      return;
    }
    this.done = true;
    clearTimeout(this.timer);
    this.watch?.stop();
    this.ended.abort();
    this.sends.forEach(send => send.cancel());
    this.log(outcome);
    this.intake.release();
    this.proceed();
  }

  private log(outcome: string): void {
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
      sends: this.sends.map(({entry}) => entry),
      told: this.refusal?.told,
      limits: undefinedIfEmpty(this.refusal?.blockers.limits),
      backoffs: undefinedIfEmpty(this.refusal?.blockers.backoffs),
      version: state.routes.version,
      ageMs: Math.round(state.ageMs),
    };
    if (outcome === 'answered-200') {
      log.succeeded(fields, 'request ended');
    } else {
      log.failed(fields, 'request ended');
    }
  }
}

/** Empty lists become undefined, which log lines omit. */
function undefinedIfEmpty<T>(
  list: readonly T[] = [],
): readonly T[] | undefined {
  return list.length > 0 ? list : undefined;
}
