/**
 * Decides about the requests of one service on one entry host: send, wait,
 * refuse, retry, hedge or cancel. Events in, decisions out; it has no clock
 * but the one given, so that daemon, bench and tests drive the same code.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {FairQueue} from '../limits/index.js';
import {QuantileEstimate, RatioTokenBucket} from '../retries/index.js';
import type {
  AttemptResult,
  RoutedUpstream,
  UpstreamState,
} from '../routing/index.js';
import {UpstreamTable, chooseUpstream} from '../routing/index.js';
import type {RequestRecord, RunningAttempt} from './request_record.js';
import {newRecord} from './request_record.js';
import type {
  AttemptFailure,
  AttemptId,
  DispatchDecision,
  DispatchEvent,
  DispatchPolicy,
  DispatchRequest,
  Outcome,
  RefusalReason,
} from './types.js';

/** How often waiting requests are looked at without any event, in ms. */
const QUEUE_RECHECK_MS = 1;
/** Latency quantile after which a request is hedged. */
const HEDGE_QUANTILE = 0.9;
const INITIAL_HEDGE_DELAY_MS = 20;
const MIN_RETRY_AFTER_MS = 50;

const FAILURE_RESULTS: Readonly<Record<AttemptFailure, AttemptResult>> = {
  unsent: 'error',
  shed: 'shed',
  error: 'error',
  broken: 'error',
};

export class Dispatcher {
  readonly upstreams: UpstreamTable;
  private readonly records = new Map<number, RequestRecord>();
  private readonly waiting: FairQueue<RequestRecord>;
  private readonly retryTokens: RatioTokenBucket;
  private readonly hedgeTokens: RatioTokenBucket;
  private readonly hedgeDelay = new QuantileEstimate(
    HEDGE_QUANTILE,
    INITIAL_HEDGE_DELAY_MS,
  );
  /** Running requests that may be hedged, in order of arrival. */
  private readonly hedgeable = new Set<RequestRecord>();
  private decisions: DispatchDecision[] = [];

  constructor(
    private policy: DispatchPolicy,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.upstreams = new UpstreamTable(clock.now());
    this.waiting = new FairQueue(policy.queue, policy.patientShare);
    this.retryTokens = new RatioTokenBucket(policy.retryRatio);
    this.hedgeTokens = new RatioTokenBucket(policy.hedgeRatio);
  }

  /** Requests that wait for a slot. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Requests that have no final outcome yet. */
  get pendingCount(): number {
    return this.records.size;
  }

  /** Time of the next `tick` it wants, if any. */
  get wakeAt(): Milliseconds | undefined {
    if (this.waiting.size > 0) {
      return this.clock.now() + QUEUE_RECHECK_MS;
    }
    const [first] = this.hedgeable;
    return first?.hedgeAt;
  }

  configure(
    policy: DispatchPolicy,
    upstreams: readonly RoutedUpstream[],
  ): void {
    this.policy = policy;
    this.waiting.configure(policy.queue, policy.patientShare);
    this.retryTokens.configure(policy.retryRatio);
    this.hedgeTokens.configure(policy.hedgeRatio);
    this.upstreams.configure(upstreams, this.clock.now());
  }

  handle(event: DispatchEvent): readonly DispatchDecision[] {
    this.decisions = [];
    this.processEvent(event);
    this.sendWaiting();
    return this.decisions;
  }

  private processEvent(event: DispatchEvent): void {
    switch (event.kind) {
      case 'arrived':
        return this.handleArrival(event.request);
      case 'started':
        return this.cancelOtherAttempts(event);
      case 'answered':
        return this.handleAnswer(event, event.load);
      case 'failed':
        return this.handleFailure(event);
      case 'abandoned':
        return this.discard(event.requestId);
      case 'expired':
        return this.handleExpiry(event.requestId);
      case 'reported':
        return this.report(event.upstream, event.load);
      case 'tick':
        return this.sendDueHedges();
      default:
        event satisfies never;
    }
  }

  private handleArrival(request: DispatchRequest): void {
    const record = newRecord(request, this.clock.now());
    this.records.set(request.id, record);
    this.retryTokens.noteFirstAttempt();
    this.hedgeTokens.noteFirstAttempt();
    const trial = request.repeatable
      ? this.upstreams.findTrial(this.clock.now())
      : undefined;
    if (trial) {
      return this.send(record, trial, false);
    }
    this.enqueue(record);
  }

  /** Makes a request wait, or refuses what could only waste a slot. */
  private enqueue(record: RequestRecord): void {
    // Waiting for what cannot come would hold the answer to the deadline.
    if (!this.upstreams.hasUsable) {
      return this.refuse(record, 'no-upstream');
    }
    if (this.waiting.size > 0) {
      const wait = this.waitMs(this.waiting.estimateAhead(record));
      const allowed = record.request.deadlineAt - this.clock.now();
      if (wait > allowed) {
        return this.refuse(record, 'cannot-meet-deadline');
      }
    }
    if (!this.waiting.push(record)) {
      this.refuse(record, 'queue-full');
    }
  }

  /** Expected time until a request with so many before it has its answer. */
  private waitMs(ahead: number): Milliseconds {
    const rate = this.upstreams.serviceRate(this.clock.now());
    const busy = Math.max(this.upstreams.inFlight, 1);
    return (ahead + 1) / (busy * rate) + 1 / rate;
  }

  /**
   * The last upstream has begun to drain while requests wait: they would be
   * held to their deadlines for a server that cannot come.
   */
  private refuseWaiting(): void {
    for (;;) {
      const record = this.waiting.shift();
      if (!record) {
        return;
      }
      this.refuse(record, 'no-upstream');
    }
  }

  private sendWaiting(): void {
    if (!this.upstreams.hasUsable) {
      return this.refuseWaiting();
    }
    for (;;) {
      const record = this.waiting.peek();
      const upstream = record && this.choose(record);
      if (!record || !upstream) {
        return;
      }
      this.waiting.shift();
      this.send(record, upstream, false);
    }
  }

  private choose(record: RequestRecord): UpstreamState | undefined {
    const now = this.clock.now();
    return chooseUpstream(this.upstreams.all, {
      now,
      random: this.random,
      serviceRate: this.upstreams.serviceRate(now),
      excluded: record.tried,
      waitingCostMs: this.waitMs(this.waiting.size),
      options: this.policy.routing,
    });
  }

  private send(
    record: RequestRecord,
    upstream: UpstreamState,
    hedged: boolean,
  ): void {
    const now = this.clock.now();
    this.upstreams.send(upstream, now);
    const number = record.attempts;
    record.attempts += 1;
    record.tried.add(upstream.spec.name);
    record.running = [
      ...record.running,
      {number, upstream, sentAt: now, hedged},
    ];
    this.decisions.push({
      kind: 'send',
      requestId: record.id,
      attempt: number,
      upstream: upstream.spec.name,
      hedged,
    });
    if (this.mayHedge(record)) {
      record.hedgeAt = now + this.hedgeDelay.value;
      this.hedgeable.add(record);
    }
  }

  private mayHedge(record: RequestRecord): boolean {
    const {hedge, repeatable} = record.request;
    return (
      hedge &&
      repeatable &&
      record.class === 'prompt' &&
      record.attempts === 1 &&
      this.policy.hedgeRatio > 0
    );
  }

  private sendDueHedges(): void {
    const now = this.clock.now();
    for (const record of this.hedgeable) {
      if (record.hedgeAt > now) {
        return;
      }
      this.hedgeable.delete(record);
      const upstream =
        this.waiting.size === 0 ? this.choose(record) : undefined;
      if (upstream && this.hedgeTokens.trySpend()) {
        this.send(record, upstream, true);
      }
    }
  }

  private handleAnswer(id: AttemptId, load: number | undefined): void {
    const ended = this.endAttempt(id, 'answered', load);
    if (!ended) {
      return;
    }
    this.hedgeDelay.observe(this.clock.now() - ended.attempt.sentAt);
    this.discard(ended.record.id);
  }

  private handleFailure(event: Extract<DispatchEvent, {kind: 'failed'}>): void {
    const result = FAILURE_RESULTS[event.failure];
    const ended = this.endAttempt(event, result, event.load);
    if (!ended) {
      return;
    }
    const {record} = ended;
    if (event.failure === 'broken' || event.failure === 'error') {
      record.mayHaveRun = true;
    }
    if (event.committed) {
      return this.discard(record.id);
    }
    if (record.running.length > 0) {
      // The hedged twin is still on its way and may bring a whole answer.
      return;
    }
    if (!event.bodyDiscarded && this.mayRetry(record, event.failure)) {
      return this.enqueue(record);
    }
    if (event.failure === 'error') {
      this.decisions.push({
        kind: 'deliver-error',
        requestId: event.requestId,
        attempt: event.attempt,
      });
      return this.discard(record.id);
    }
    const reason =
      event.failure === 'broken' ? 'attempt-broken' : 'upstreams-refused';
    this.refuse(record, reason);
  }

  /**
   * An order goes on only while no byte of it can have run anywhere. What
   * certainly did not run may move on at any depth; what may have run is
   * repeated by the outermost level alone.
   */
  private mayRetry(record: RequestRecord, failure: AttemptFailure): boolean {
    const {request} = record;
    const notRun = failure === 'unsent' || failure === 'shed';
    if (record.mayHaveRun && !request.repeatable) {
      return false;
    }
    if (!notRun && request.depth > 0) {
      return false;
    }
    const allowed = notRun ? Math.max(1, request.retries) : request.retries;
    return (
      record.attempts <= allowed &&
      record.tried.size < this.upstreams.all.length &&
      this.retryTokens.trySpend()
    );
  }

  private endAttempt(
    id: AttemptId,
    result: AttemptResult,
    load: number | undefined,
  ): {record: RequestRecord; attempt: RunningAttempt} | undefined {
    const record = this.records.get(id.requestId);
    const attempt = record?.running.find(one => one.number === id.attempt);
    if (!record || !attempt) {
      return undefined;
    }
    record.running = record.running.filter(one => one !== attempt);
    const now = this.clock.now();
    this.upstreams.end(attempt.upstream, attempt.sentAt, result, now);
    if (load !== undefined) {
      attempt.upstream.report({inFlight: load, receivedAt: now});
    }
    return {record, attempt};
  }

  private cancelOtherAttempts(winner: AttemptId): void {
    const record = this.records.get(winner.requestId);
    if (record && record.running.length > 1) {
      this.cancel(record, one => one.number !== winner.attempt);
    }
    if (record) {
      this.hedgeable.delete(record);
    }
  }

  private cancel(
    record: RequestRecord,
    unwanted: (attempt: RunningAttempt) => boolean,
  ): void {
    const now = this.clock.now();
    for (const {upstream, sentAt, number} of record.running.filter(unwanted)) {
      this.upstreams.end(upstream, sentAt, 'cancelled', now);
      this.decisions.push({
        kind: 'cancel',
        requestId: record.id,
        attempt: number,
      });
    }
    record.running = record.running.filter(attempt => !unwanted(attempt));
  }

  /** Forgets a request and cancels what still runs of it. */
  private discard(requestId: number): void {
    const record = this.records.get(requestId);
    if (!record) {
      return;
    }
    this.cancel(record, () => true);
    this.waiting.remove(record);
    this.hedgeable.delete(record);
    this.records.delete(requestId);
  }

  private handleExpiry(requestId: number): void {
    const record = this.records.get(requestId);
    if (!record) {
      return;
    }
    if (record.running.length > 0) {
      record.mayHaveRun = true;
      return this.refuse(record, 'attempt-timed-out');
    }
    this.refuse(record, 'deadline-passed');
  }

  private refuse(record: RequestRecord, reason: RefusalReason): void {
    const outcome: Outcome = record.mayHaveRun ? 'unknown' : 'not-run';
    const wait = this.waitMs(this.waiting.size);
    this.discard(record.id);
    this.decisions.push({
      kind: 'refuse',
      requestId: record.id,
      outcome,
      reason,
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.round(wait)),
    });
  }

  private report(name: string, load: number): void {
    this.upstreams.report(name, {
      inFlight: load,
      receivedAt: this.clock.now(),
    });
  }
}
