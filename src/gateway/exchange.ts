/** One caller request from its head to its final answer. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AttemptEnd} from '../decisions/attempts/index.js';
import {AttemptRecord} from '../decisions/attempts/index.js';
import type {
  LoadReport,
  PlacementRequest,
  ProbeAnswer,
} from '../decisions/placement/index.js';
import type {UpstreamInService} from '../decisions/registry/index.js';
import type {Route, ServiceProfile} from '../decisions/routes/index.js';
import type {ProblemReason, RequestBody} from '../http/index.js';
import {
  BodyTooLargeError,
  hasBody,
  readBody,
  sendProblem,
} from '../http/index.js';
import {HEADERS} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import type {
  AttemptResult,
  ForwardedRequest,
  LongAnswer,
  SentAttempt,
  WholeAnswer,
} from '../upstreams/index.js';
import {sendAttempt} from '../upstreams/index.js';
import {forwardedRequest} from './forwarded_request.js';
import {streamLong, writeWhole} from './reply.js';
import type {Placing} from './scheduler.js';
import {truthfulProblem} from './truthful_problem.js';
import type {GatewayContext} from './types.js';

/** Bodies up to this size are held, so that they can be sent again. */
const HELD_BODY_BYTES = 1024 * 1024;
const SERVER_ERROR_FROM = 500;
/** When to come back if no upstream could be reached. */
const UNREACHABLE_RETRY_MS: Milliseconds = 150;
/** Time that a caller waits who doesn't say. */
const DEFAULT_TIME_MS: Milliseconds = 60_000;

/** One send, as the log tells of it. */
interface Sent {
  readonly upstream: string;
  /** Whether it is in this host's data centre. */
  readonly near: boolean;
  /** What it told of its load just before. */
  readonly load: LoadReport | undefined;
  readonly healthy: boolean;
  /** When it was sent, from the request's arrival. */
  readonly atMs: Milliseconds;
  result: AttemptResult['kind'] | 'pending';
  ms: Milliseconds;
}

export class Exchange {
  private readonly arrivedAt: Milliseconds;
  private readonly giveUpAt: Milliseconds;
  private readonly id: string;
  private readonly record: AttemptRecord;
  private readonly sends: Sent[] = [];
  private attempt: SentAttempt | undefined;
  private timer: NodeJS.Timeout | undefined;
  private readonly ended = new AbortController();
  private done = false;
  /** An upstream's own error, delivered if nothing better comes. */
  private failure: WholeAnswer | undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly route: Route,
    private readonly service: ServiceProfile,
    private readonly context: GatewayContext,
  ) {
    this.record = new AttemptRecord(route);
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
    if (body) {
      this.context.budgetOf(this.service.name).noteFirst();
      await this.serve(body);
    }
  }

  private get leftMs(): Milliseconds {
    return Math.max(0, this.giveUpAt - this.context.clock.now());
  }

  private async readBody(): Promise<RequestBody | undefined> {
    if (!hasBody(this.request)) {
      return {kind: 'none'};
    }
    const limits = this.context.state.routes.current?.limits;
    try {
      const body = await readBody(this.request, {
        heldBytes: HELD_BODY_BYTES,
        mostBytes: limits?.bodyBytes ?? Infinity,
      });
      if (body.kind === 'stream') {
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
    const forwarded = forwardedRequest(this.request, this.id, body);
    while (!this.done) {
      const placing = await this.place();
      if (this.done) {
        return;
      }
      if (placing.kind === 'refused') {
        this.refuseOrFail(placing.reason, placing.retryAfterMs);
        return;
      }
      const {upstream, answer} = placing;
      const result = await this.send(forwarded, upstream, answer);
      if (!this.done) {
        this.judge(result, upstream.id, body);
      }
    }
  }

  private place(): Promise<Placing> {
    const {route, service, giveUpAt} = this;
    const {tried} = this.record;
    const wanted: PlacementRequest = {
      service: service.name,
      route: route.name,
      rank: route.rank,
      tried,
      targetMs: route.targetMs,
      targetAt: this.arrivedAt + route.targetMs,
      giveUpAt,
    };
    return this.context
      .schedulerOf(service.name)
      .place(wanted, service, this.ended.signal);
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

  private async send(
    forwarded: ForwardedRequest,
    upstream: UpstreamInService,
    answer: ProbeAnswer,
  ): Promise<AttemptResult> {
    const {desk, clock} = this.context;
    const startedAt = clock.now();
    const connection = desk.connect(upstream);
    this.record.noteSend(upstream.id);
    this.attempt = sendAttempt(
      connection,
      forwarded,
      upstream.id,
      this.leftMs,
      reusable => {
        if (reusable) {
          desk.release(upstream.id, connection);
        } else {
          connection.close();
        }
      },
    );
    const sent: Sent = {
      upstream: upstream.id,
      near: upstream.dataCentre === this.context.dataCentre,
      load: answer.report,
      healthy: answer.healthy,
      atMs: Math.round(startedAt - this.arrivedAt),
      result: 'pending',
      ms: 0,
    };
    this.sends.push(sent);
    const result = await this.attempt.result;
    this.attempt = undefined;
    sent.result = result.kind;
    this.context.metrics.countAttempt(result.kind);
    sent.ms = Math.round(clock.now() - startedAt);
    this.learn(result, upstream.id, answer, clock.now() - startedAt);
    return result;
  }

  /** Takes in what an attempt tells of its upstream. */
  private learn(
    result: AttemptResult,
    id: string,
    before: ProbeAnswer,
    elapsedMs: Milliseconds,
  ): void {
    const {desk, work, schedulerOf} = this.context;
    if (result.kind === 'answered' && result.status < SERVER_ERROR_FROM) {
      desk.outcomes.succeeded(id);
      const slowness = before.report?.slowness ?? 1;
      work.observe(this.service.name, this.route.name, elapsedMs, slowness);
    }
    if (
      (result.kind === 'answered' || result.kind === 'not-run') &&
      result.load
    ) {
      const answer = {id, report: result.load, healthy: before.healthy};
      desk.noteAnswer(answer);
      schedulerOf(this.service.name).offer(id, answer);
    }
  }

  /** Carries out what follows from an attempt's result. */
  private judge(result: AttemptResult, id: string, body: RequestBody): void {
    if (result.kind === 'cancelled') {
      return;
    }
    if (result.kind === 'long') {
      this.passOn(result);
      return;
    }
    this.noteFailure(result, id);
    const step = this.record.noteEnd(endOf(result), {
      leftMs: this.leftMs,
      bodyHeld: body.kind !== 'stream',
      spendRepeat: () => this.spendRepeat(),
    });
    switch (step.kind) {
      case 'deliver':
        if (result.kind === 'answered') {
          this.deliver(result);
        }
        return;
      case 'repeat':
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
    const {outcomes} = this.context.desk;
    switch (result.kind) {
      case 'answered':
        if (result.status >= SERVER_ERROR_FROM) {
          outcomes.failed(id, 'error');
          this.failure = result;
        }
        return;
      case 'not-run':
        outcomes.failed(id, result.reason === 'shed' ? 'shed' : 'unreachable');
        this.logFailure(id, result.reason, result.detail);
        return;
      case 'broken':
        outcomes.failed(id, 'broken');
        this.logFailure(id, 'broken', result.detail);
        return;
      default:
        result satisfies never;
    }
  }

  private spendRepeat(): boolean {
    const {budgetOf, retryReserve, metrics} = this.context;
    const granted = budgetOf(this.service.name).spend(retryReserve());
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

  private passOn(answer: LongAnswer): void {
    streamLong(this.response, answer);
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
    this.ended.abort();
    this.attempt?.cancel();
    const elapsed = this.context.clock.now() - this.arrivedAt;
    this.context.metrics.countRequest(this.route.rank, outcome, elapsed);
    this.log(outcome, elapsed);
  }

  private logFailure(upstream: string, reason: string, detail: string): void {
    this.context.log.failed(
      {event: 'attempt', request: this.id, upstream, reason, detail},
      'attempt failed',
    );
  }

  private log(outcome: string, elapsedMs: Milliseconds): void {
    const {log, state} = this.context;
    const fields = {
      event: 'request',
      request: this.id,
      route: this.route.name,
      service: this.service.name,
      outcome,
      ms: Math.round(elapsedMs),
      leftMs: Math.round(this.leftMs),
      sends: this.sends,
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

function endOf(
  result: Exclude<AttemptResult, {kind: 'long' | 'cancelled'}>,
): AttemptEnd {
  if (result.kind !== 'answered') {
    return result.kind;
  }
  return result.status >= SERVER_ERROR_FROM ? 'failed' : 'answered';
}
