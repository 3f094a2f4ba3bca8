/** A host: runs the production decision code in simulated time. */

import type {AttemptEnd} from '../decisions/attempts/index.js';
import {RequestAttempts} from '../decisions/attempts/index.js';
import {
  Admission,
  LoadView,
  OutcomeHistory,
  PlacementPolicy,
  ResetHistory,
  WorkEstimates,
} from '../decisions/placement/index.js';
import {Backoffs} from '../decisions/backoff/index.js';
import {ProbeBudget} from '../decisions/probing/index.js';
import type {NearHosts} from '../decisions/rate_limits/index.js';
import {RateLimitTable, RateLimits} from '../decisions/rate_limits/index.js';
import type {RetryPermit} from '../decisions/retries/index.js';
import {HostRetryBudgets} from '../decisions/retries/index.js';
import type {DecisionOptions} from '../decisions/options/index.js';
import type {Placed, SchedulingResult} from '../decisions/scheduling/index.js';
import {LoadUpdateBuffer, SharingGain} from '../decisions/sharing/index.js';
import {ColdLimits} from '../decisions/warmup/index.js';
import {StallDetector} from '../decisions/stalls/index.js';
import type {Milliseconds} from '../time/index.js';
import {HOST_STEP_MS} from './constants.js';
import type {FleetModel} from './fleet_model.js';
import {LoadGossip} from './load_gossip.js';
import {ResetGossip} from './reset_gossip.js';
import type {RequestKind} from './scenario.js';
import {SchedulerModel} from './scheduler_model.js';
import type {Run, RunEnd} from './upstream_model.js';

/** Retry delay for callers if no upstream could be reached. */
const UNREACHABLE_RETRY_MS: Milliseconds = 150;
const RETRY_WINDOW_MS: Milliseconds = 10_000;
/** Request and response between data centres, headers included. */
const FAR_EXCHANGE_KILOBYTES = 2.5;

/** Final response to a caller. */
export type Reply =
  | {readonly kind: 'answered'}
  | {readonly kind: 'refused'; readonly retryAfterMs: Milliseconds}
  | {readonly kind: 'failed'};

/** One attempt of a caller at this host. */
export interface HostRequest {
  readonly kind: RequestKind;
  readonly workMs: Milliseconds;
  /** Time until the caller's deadline. */
  readonly timeLeftMs: Milliseconds;
  readonly reply: (reply: Reply) => void;
}

interface PendingRequest {
  readonly request: HostRequest;
  readonly attempts: RequestAttempts;
  readonly arrivedAt: Milliseconds;
  readonly giveUpAt: Milliseconds;
  readonly runs: Map<string, Run>;
  readonly retryPermits: RetryPermit[];
  done: boolean;
}

const SINGLE_HOST: NearHosts = {
  self: '',
  others: [],
  areAllKnown: true,
  count: 1,
  fleetSize: 1,
};

export class HostModel {
  private readonly outcomes: OutcomeHistory;
  private readonly resets = new ResetHistory();
  readonly resetGossip = new ResetGossip(this.resets);
  readonly view: LoadView;
  readonly gossip: LoadGossip;
  readonly gain: SharingGain;
  private readonly workEstimates = new WorkEstimates();
  private readonly stalls = new StallDetector();
  private readonly policy: PlacementPolicy;
  private readonly probes: ProbeBudget;
  private readonly schedulers = new Map<string, SchedulerModel>();
  private readonly retries: HostRetryBudgets;

  constructor(
    private readonly fleet: FleetModel,
    readonly address: string,
    readonly dataCentre: number,
    private readonly options: DecisionOptions,
  ) {
    const {loop, random, scenario} = fleet;
    this.outcomes = new OutcomeHistory(loop, options);
    const updateBuffer = new LoadUpdateBuffer(loop, () =>
      this.gossip.scheduleSend(),
    );
    this.gain = new SharingGain(loop, options.sharesByGain);
    this.gossip = new LoadGossip(loop, updateBuffer, this.gain);
    this.view = new LoadView(loop, updateBuffer);
    // Emulated upstreams have no cold limits.
    const cold = new ColdLimits({
      clock: loop,
      random,
      hosts: () => fleet.hostCount,
      limitOf: () => undefined,
    });
    // Emulated upstreams announce no rate limits.
    const rateLimits = new RateLimits({
      table: new RateLimitTable(loop),
      dataCentre: String(dataCentre),
      nearHosts: () => SINGLE_HOST,
      clock: loop,
      random,
    });
    this.policy = new PlacementPolicy({
      host: address,
      hosts: () => ({
        all: fleet.hostCount,
        near: scenario.hosts[dataCentre] ?? 1,
      }),
      dataCentre: String(dataCentre),
      clock: loop,
      random,
      outcomes: this.outcomes,
      resets: this.resets,
      work: this.workEstimates,
      view: this.view,
      cold,
      admission: new Admission({
        cold,
        rateLimits,
        backoffs: new Backoffs(loop),
      }),
      options,
    });
    this.probes = new ProbeBudget(loop, scenario.probes_per_upstream_second);
    const fleetRetries = {
      windowMs: RETRY_WINDOW_MS,
      ratio: scenario.retry_ratio,
      slack: scenario.retry_slack,
    };
    this.retries = new HostRetryBudgets(
      loop,
      fleetRetries,
      () => fleet.hostCount,
      true,
    );
  }

  accept(request: HostRequest): void {
    const now = this.fleet.loop.now();
    const {kind, timeLeftMs} = request;
    const pending: PendingRequest = {
      request,
      attempts: new RequestAttempts({
        repeatable: kind.idempotent,
        attempts: 3,
      }),
      arrivedAt: now,
      giveUpAt: now + Math.min(timeLeftMs, kind.timeout_ms),
      runs: new Map(),
      retryPermits: [],
      done: false,
    };
    this.retries.noteFirstAttempt(kind.service);
    this.fleet.loop.after(pending.giveUpAt - now, () =>
      this.refuse(pending, UNREACHABLE_RETRY_MS),
    );
    this.schedule(pending, true);
  }

  private schedule(pending: PendingRequest, isFirst: boolean): void {
    const {kind} = pending.request;
    const wanted = {
      service: kind.service,
      repeatable: kind.idempotent,
      route: kind.name,
      tried: pending.attempts.tried,
      targetMs: kind.target_ms,
      targetAt: pending.arrivedAt + kind.target_ms,
      giveUpAt: pending.giveUpAt,
    };
    this.schedulerOf(kind.service).schedule(wanted, result =>
      this.handleSchedulingResult(pending, result, isFirst),
    );
  }

  private handleSchedulingResult(
    pending: PendingRequest,
    result: SchedulingResult,
    isFirst: boolean,
  ): void {
    if (pending.done) {
      return;
    }
    if (result.kind === 'placed') {
      const isHedge = pending.attempts.isPending;
      if (!isHedge || this.trySpendRetry(pending)) {
        this.send(pending, result);
      }
      return;
    }
    if (isFirst) {
      this.refuse(pending, result.retryAfterMs);
    }
  }

  private send(
    pending: PendingRequest,
    {upstream: {id, dataCentre}, answer: loadAnswer, expectedMs}: Placed,
  ): void {
    const {loop} = this.fleet;
    const {kind} = pending.request;
    const upstream = this.fleet.upstream(id);
    const delay = this.fleet.oneWayDelayMs(this.dataCentre, Number(dataCentre));
    pending.attempts.noteSend(id);
    this.countSend(Number(dataCentre));
    const startedAt = loop.now();
    const noteEnd = this.resetGossip.observe(
      kind.service,
      loadAnswer.report,
      this.view.unreportedSends(id) - 1,
    );
    const pendingAttempt = {
      service: kind.service,
      route: kind.name,
      expectedMs,
    };
    const run: Run = {
      workMs: pending.request.workMs,
      cancelled: false,
      onEnd: end => {
        if (end === 'silent' || run.cancelled) {
          return;
        }
        const report = upstream?.loadReport();
        loop.after(delay + HOST_STEP_MS, () => {
          const elapsedMs = loop.now() - startedAt;
          if (end === 'answered') {
            this.outcomes.succeeded(id);
            this.workEstimates.observe(
              kind.service,
              kind.name,
              elapsedMs,
              loadAnswer.report,
            );
            this.stalls.answered(pendingAttempt, elapsedMs);
          }
          noteEnd(end);
          pending.runs.delete(id);
          if (report) {
            this.view.note({id, report, healthy: true});
          }
          this.handleRunEnd(pending, id, end);
        });
      },
    };
    pending.runs.set(id, run);
    loop.after(delay + HOST_STEP_MS, () => {
      if (!run.cancelled) {
        upstream?.accept(run);
      }
    });
    this.watchForStall(
      pending,
      id,
      run,
      this.stalls.stallTimeoutMs(pendingAttempt),
    );
    loop.after(pending.giveUpAt - startedAt, () => {
      if (pending.runs.has(id)) {
        this.stalls.unanswered(pendingAttempt, loop.now() - startedAt);
      }
    });
  }

  private countSend(dataCentre: number): void {
    if (dataCentre !== this.dataCentre) {
      const {costs} = this.fleet;
      costs.farKilobytes += FAR_EXCHANGE_KILOBYTES;
      costs.farSends += 1;
    }
  }

  /**
   * Hedges an idempotent request when its attempt is more likely lost than
   * still running.
   */
  private watchForStall(
    pending: PendingRequest,
    id: string,
    run: Run,
    delayMs: Milliseconds,
  ): void {
    this.fleet.loop.after(delayMs, () => {
      if (!pending.done && pending.runs.get(id) === run) {
        const {kind} = pending.request;
        const mayRetry = this.retries.allows(kind.service);
        if (this.options.hedges && pending.attempts.mayHedge && mayRetry) {
          this.schedule(pending, false);
        }
        this.watchForStall(pending, id, run, 100);
      }
    });
  }

  private handleRunEnd(pending: PendingRequest, id: string, end: RunEnd): void {
    if (pending.done) {
      return;
    }
    const ends: Readonly<Record<RunEnd, AttemptEnd>> = {
      answered: 'answered',
      refused: 'not-run',
      silent: 'broken',
      reset: 'broken',
      gone: 'broken',
    };
    if (end === 'refused') {
      this.outcomes.failed(id, 'shed');
    } else if (end === 'gone' || end === 'reset') {
      this.outcomes.failed(id, 'broken');
    }
    const step = pending.attempts.handleEnd(ends[end], {
      leftMs: pending.giveUpAt - this.fleet.loop.now(),
      isBodyBuffered: true,
      trySpendRetry: () => this.trySpendRetry(pending),
    });
    switch (step.kind) {
      case 'deliver':
        return this.finish(pending, {kind: 'answered'});
      case 'repeat':
        return this.schedule(pending, true);
      case 'await-other':
        return;
      case 'refuse':
        return this.refuse(pending, UNREACHABLE_RETRY_MS);
      default:
        step satisfies never;
    }
  }

  /** Refuses only a request that certainly hasn't run; others fail. */
  private refuse(pending: PendingRequest, retryAfterMs: Milliseconds): void {
    const hasNotRun = pending.attempts.outcome === 'not-run';
    if (!hasNotRun && !pending.done) {
      this.fleet.costs.unknownOutcomes += 1;
    }
    this.finish(
      pending,
      hasNotRun ? {kind: 'refused', retryAfterMs} : {kind: 'failed'},
    );
  }

  private finish(pending: PendingRequest, reply: Reply): void {
    if (pending.done) {
      return;
    }
    pending.done = true;
    for (const [id, run] of pending.runs) {
      run.cancelled = true;
      this.fleet.upstream(id)?.cancel(run);
    }
    pending.retryPermits.forEach(permit => permit.settle());
    this.fleet.loop.after(HOST_STEP_MS + this.fleet.scenario.caller_ms, () =>
      pending.request.reply(reply),
    );
  }

  private trySpendRetry(pending: PendingRequest): boolean {
    const permit = this.retries.trySpend(pending.request.kind.service);
    if (permit) {
      pending.retryPermits.push(permit);
    }
    return permit !== undefined;
  }

  private schedulerOf(service: string): SchedulerModel {
    const known = this.schedulers.get(service);
    if (known) {
      return known;
    }
    const {fleet, dataCentre, policy, view, outcomes, probes, options} = this;
    const scheduler = new SchedulerModel({
      service,
      dataCentre,
      fleet,
      policy,
      view,
      outcomes,
      probes,
      options,
      gain: this.gain,
    });
    this.schedulers.set(service, scheduler);
    return scheduler;
  }
}
