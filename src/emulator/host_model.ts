/** A host: the program's own decisions, in simulated time. */

import type {AttemptEnd} from '../decisions/attempts/index.js';
import {RequestAttempts} from '../decisions/attempts/index.js';
import {
  Admission,
  LoadView,
  OutcomeHistory,
  PlacementPolicy,
  WorkEstimates,
} from '../decisions/placement/index.js';
import {Backoffs} from '../decisions/backoff/index.js';
import {ProbeBudget} from '../decisions/probing/index.js';
import type {NearHosts} from '../decisions/rate_limits/index.js';
import {RateLimitTable, RateLimits} from '../decisions/rate_limits/index.js';
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
import type {RequestKind} from './scenario.js';
import {SchedulerModel} from './scheduler_model.js';
import type {Run, RunEnd} from './upstream_model.js';

/** When to come back if no upstream could be reached. */
const UNREACHABLE_RETRY_MS: Milliseconds = 150;
const RETRY_WINDOW_MS: Milliseconds = 10_000;
/** A request and its answer, with headers, between data centres. */
const FAR_EXCHANGE_KILOBYTES = 2.5;

/** What a caller hears in the end. */
export type Reply =
  | {readonly kind: 'answered'}
  | {readonly kind: 'refused'; readonly retryAfterMs: Milliseconds}
  | {readonly kind: 'failed'};

/** One attempt of a caller at this host. */
export interface HostRequest {
  readonly kind: RequestKind;
  readonly workMs: Milliseconds;
  /** How long the caller still waits. */
  readonly timeLeftMs: Milliseconds;
  readonly reply: (reply: Reply) => void;
}

interface PendingRequest {
  readonly request: HostRequest;
  readonly attempts: RequestAttempts;
  readonly arrivedAt: Milliseconds;
  readonly giveUpAt: Milliseconds;
  readonly runs: Map<string, Run>;
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
  readonly view: LoadView;
  readonly gossip: LoadGossip;
  readonly gain: SharingGain;
  private readonly work = new WorkEstimates();
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
      work: this.work,
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
    );
  }

  accept(request: HostRequest): void {
    const now = this.fleet.loop.now();
    const {kind, timeLeftMs} = request;
    const exchange: PendingRequest = {
      request,
      attempts: new RequestAttempts({
        repeatable: kind.idempotent,
        attempts: 3,
      }),
      arrivedAt: now,
      giveUpAt: now + Math.min(timeLeftMs, kind.timeout_ms),
      runs: new Map(),
      done: false,
    };
    this.retries.noteFirstAttempt(kind.service);
    this.fleet.loop.after(exchange.giveUpAt - now, () =>
      this.refuse(exchange, UNREACHABLE_RETRY_MS),
    );
    this.schedule(exchange, true);
  }

  private schedule(exchange: PendingRequest, isFirst: boolean): void {
    const {kind} = exchange.request;
    const wanted = {
      service: kind.service,
      route: kind.name,
      tried: exchange.attempts.tried,
      targetMs: kind.target_ms,
      targetAt: exchange.arrivedAt + kind.target_ms,
      giveUpAt: exchange.giveUpAt,
    };
    this.schedulerOf(kind.service).schedule(wanted, placing =>
      this.handleSchedulingResult(exchange, placing, isFirst),
    );
  }

  private handleSchedulingResult(
    exchange: PendingRequest,
    placing: SchedulingResult,
    isFirst: boolean,
  ): void {
    if (exchange.done) {
      return;
    }
    if (placing.kind === 'placed') {
      const isHedge = exchange.attempts.isPending;
      if (!isHedge || this.trySpendRetry(exchange)) {
        this.send(exchange, placing);
      }
      return;
    }
    if (isFirst) {
      this.refuse(exchange, placing.retryAfterMs);
    }
  }

  private send(
    exchange: PendingRequest,
    {upstream: {id, dataCentre}, answer: told, expectedMs}: Placed,
  ): void {
    const {loop} = this.fleet;
    const {kind} = exchange.request;
    const upstream = this.fleet.upstream(id);
    const delay = this.fleet.oneWayDelayMs(this.dataCentre, Number(dataCentre));
    exchange.attempts.noteSend(id);
    if (Number(dataCentre) !== this.dataCentre) {
      this.fleet.costs.farKilobytes += FAR_EXCHANGE_KILOBYTES;
    }
    const startedAt = loop.now();
    const pendingAttempt = {
      service: kind.service,
      route: kind.name,
      expectedMs,
    };
    const run: Run = {
      workMs: exchange.request.workMs,
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
            this.work.observe(kind.service, kind.name, elapsedMs, told.report);
            this.stalls.answered(pendingAttempt, elapsedMs);
          }
          exchange.runs.delete(id);
          if (report) {
            this.view.note({id, report, healthy: true});
          }
          this.handleRunEnd(exchange, id, end);
        });
      },
    };
    exchange.runs.set(id, run);
    loop.after(delay + HOST_STEP_MS, () => {
      if (!run.cancelled) {
        upstream?.accept(run);
      }
    });
    this.watchForStall(
      exchange,
      id,
      run,
      this.stalls.stallTimeoutMs(pendingAttempt),
    );
    loop.after(exchange.giveUpAt - startedAt, () => {
      if (exchange.runs.has(id)) {
        this.stalls.unanswered(pendingAttempt, loop.now() - startedAt);
      }
    });
  }

  /** Sends a lookup elsewhere once it is more likely lost than at work. */
  private watchForStall(
    exchange: PendingRequest,
    id: string,
    run: Run,
    patienceMs: Milliseconds,
  ): void {
    this.fleet.loop.after(patienceMs, () => {
      if (!exchange.done && exchange.runs.get(id) === run) {
        const {kind} = exchange.request;
        const mayRetry = this.retries.allows(kind.service);
        if (this.options.hedges && exchange.attempts.mayHedge && mayRetry) {
          this.schedule(exchange, false);
        }
        this.watchForStall(exchange, id, run, 100);
      }
    });
  }

  private handleRunEnd(
    exchange: PendingRequest,
    id: string,
    end: RunEnd,
  ): void {
    if (exchange.done) {
      return;
    }
    const ends: Readonly<Record<RunEnd, AttemptEnd>> = {
      answered: 'answered',
      refused: 'not-run',
      silent: 'broken',
      gone: 'broken',
    };
    if (end === 'refused') {
      this.outcomes.failed(id, 'shed');
    } else if (end === 'gone') {
      this.outcomes.failed(id, 'broken');
    }
    const step = exchange.attempts.handleEnd(ends[end], {
      leftMs: exchange.giveUpAt - this.fleet.loop.now(),
      isBodyBuffered: true,
      trySpendRetry: () => this.trySpendRetry(exchange),
    });
    switch (step.kind) {
      case 'deliver':
        return this.finish(exchange, {kind: 'answered'});
      case 'repeat':
        return this.schedule(exchange, true);
      case 'await-other':
        return;
      case 'refuse':
        return this.refuse(exchange, UNREACHABLE_RETRY_MS);
      default:
        step satisfies never;
    }
  }

  /** Only what certainly hasn't run is refused. */
  private refuse(exchange: PendingRequest, retryAfterMs: Milliseconds): void {
    const hasNotRun = exchange.attempts.outcome === 'not-run';
    this.finish(
      exchange,
      hasNotRun ? {kind: 'refused', retryAfterMs} : {kind: 'failed'},
    );
  }

  private finish(exchange: PendingRequest, reply: Reply): void {
    if (exchange.done) {
      return;
    }
    exchange.done = true;
    for (const [id, run] of exchange.runs) {
      run.cancelled = true;
      this.fleet.upstream(id)?.cancel(run);
    }
    this.fleet.loop.after(HOST_STEP_MS + this.fleet.scenario.caller_ms, () =>
      exchange.request.reply(reply),
    );
  }

  private trySpendRetry(exchange: PendingRequest): boolean {
    return this.retries.trySpend(exchange.request.kind.service);
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
