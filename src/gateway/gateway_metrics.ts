/** What an entry host counts, for Prometheus. */

import {performance} from 'node:perf_hooks';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {Milliseconds} from '../time/index.js';

/** Upper bounds in seconds: around targets of 0.4 to 2 s. */
const DURATION_BUCKETS_SECONDS = [
  0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4, 6, 10,
];
const MS_PER_SECOND = 1_000;

/** Figures that are read when metrics are asked for. */
export interface HostGauges {
  readonly ready: boolean;
  readonly isReader: boolean;
  readonly version: number | undefined;
  readonly ageMs: Milliseconds;
  readonly upstreams: number;
  readonly hosts: number;
  readonly inFlight: number;
  readonly looking: number;
  /** Upstreams that currently announce a rate limit. */
  readonly rateLimited: number;
  /** Upstreams whose backoff has not ended. */
  readonly backoffs: number;
  /** Requests under which upstreams crashed, and those that are held back. */
  readonly suspects: number;
  /** Data centres that get nothing new. */
  readonly evacuated: number;
  readonly quarantined: number;
  /** Lives of upstreams that this host knows to have ended under requests. */
  readonly endedInstances: number;
}

/** What a host did since it was last asked. */
export interface Activity {
  readonly requests: number;
  readonly probes: number;
  readonly hedges: number;
}

const NO_ACTIVITY: Activity = {requests: 0, probes: 0, hedges: 0};

export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly registers = [this.registry];
  private activity: Activity = NO_ACTIVITY;
  private lastUtilization = performance.eventLoopUtilization();
  private readonly requests = new Counter({
    name: 'cyclamenlever_requests_total',
    help: 'Requests by class (rank of their route) and outcome',
    labelNames: ['class', 'outcome'] as const,
    registers: this.registers,
  });
  private readonly durations = new Histogram({
    name: 'cyclamenlever_request_seconds',
    help: 'Time from arrival to the final answer, by class',
    labelNames: ['class'] as const,
    buckets: DURATION_BUCKETS_SECONDS,
    registers: this.registers,
  });
  private readonly attempts = new Counter({
    name: 'cyclamenlever_attempts_total',
    help: 'Sends to upstreams by result',
    labelNames: ['result'] as const,
    registers: this.registers,
  });
  private readonly refusedRetries = new Counter({
    name: 'cyclamenlever_repeats_refused_total',
    help: 'Repeats that the budget of retries did not allow',
    registers: this.registers,
  });
  private readonly hedges = new Counter({
    name: 'cyclamenlever_hedges_total',
    help: 'Second sends of lookups whose first went silent',
    registers: this.registers,
  });
  private readonly probes = new Counter({
    name: 'cyclamenlever_probes_total',
    help: 'Load probes sent: the measuring cost',
    registers: this.registers,
  });
  private readonly storeCalls = new Counter({
    name: 'cyclamenlever_store_calls_total',
    help: 'Calls to the platform store by call and outcome',
    labelNames: ['call', 'outcome'] as const,
    registers: this.registers,
  });
  private readonly badRecords = new Counter({
    name: 'cyclamenlever_bad_records_total',
    help: 'Records of the store that name nothing to use, by sort: upstream, configuration',
    labelNames: ['sort'] as const,
    registers: this.registers,
  });
  private readonly brokenAttempts = new Counter({
    name: 'cyclamenlever_broken_sends_total',
    help: 'Sends whose connection broke, by what became of the upstream: present, ended, unknown',
    labelNames: ['upstream'] as const,
    registers: this.registers,
  });
  private readonly malformedHeaders = new Counter({
    name: 'cyclamenlever_malformed_headers_total',
    help: "Headers of upstreams' answers that can't be read, by header",
    labelNames: ['header'] as const,
    registers: this.registers,
  });
  private readonly droppedLines = new Counter({
    name: 'cyclamenlever_log_lines_dropped_total',
    help: 'Log lines left out to bound their volume',
    registers: this.registers,
  });
  private readonly host = new Gauge({
    name: 'cyclamenlever_host',
    help: 'State of this host: ready, reader, version, age_seconds, upstreams, evacuated, hosts, in_flight, looking, rate_limited, backoffs, suspects, quarantined, ended_lives',
    labelNames: ['figure'] as const,
    registers: this.registers,
  });
  private readonly utilization = new Gauge({
    name: 'cyclamenlever_event_loop_utilization',
    help: 'Share of the time since the last reading that the loop was busy',
    registers: this.registers,
  });

  countRequest(rank: number, outcome: string, elapsedMs: Milliseconds): void {
    const labels = {class: `rank-${rank}`};
    this.countActivity('requests');
    this.requests.inc({...labels, outcome});
    this.durations.observe(labels, elapsedMs / MS_PER_SECOND);
  }

  /** A request that was refused before it had a route. */
  countRefusal(outcome: string): void {
    this.requests.inc({class: 'none', outcome});
  }

  countAttempt(result: string): void {
    this.attempts.inc({result});
  }

  countRefusedRetry(): void {
    this.refusedRetries.inc();
  }

  countHedge(): void {
    this.hedges.inc();
    this.countActivity('hedges');
  }

  countProbe(): void {
    this.probes.inc();
    this.countActivity('probes');
  }

  countStoreCall(call: string, outcome: string): void {
    this.storeCalls.inc({call, outcome});
  }

  countBadRecord(sort: string): void {
    this.badRecords.inc({sort});
  }

  countBrokenAttempt(upstream: string): void {
    this.brokenAttempts.inc({upstream});
  }

  countMalformedHeader(header: string): void {
    this.malformedHeaders.inc({header});
  }

  countDroppedLine(): void {
    this.droppedLines.inc();
  }

  /** What was counted since the last call; undefined if nothing was. */
  takeActivity(): Activity | undefined {
    const {activity} = this;
    this.activity = NO_ACTIVITY;
    return activity === NO_ACTIVITY ? undefined : activity;
  }

  /** All of it in Prometheus' text format. */
  render(figures: HostGauges): Promise<string> {
    const values: Readonly<Record<string, number>> = {
      ready: Number(figures.ready),
      reader: Number(figures.isReader),
      version: figures.version ?? 0,
      age_seconds: figures.ageMs / MS_PER_SECOND,
      upstreams: figures.upstreams,
      hosts: figures.hosts,
      in_flight: figures.inFlight,
      looking: figures.looking,
      rate_limited: figures.rateLimited,
      backoffs: figures.backoffs,
      suspects: figures.suspects,
      evacuated: figures.evacuated,
      quarantined: figures.quarantined,
      ended_lives: figures.endedInstances,
    };
    for (const [figure, value] of Object.entries(values)) {
      this.host.set({figure}, value);
    }
    const before = this.lastUtilization;
    this.lastUtilization = performance.eventLoopUtilization();
    const since = performance.eventLoopUtilization(
      this.lastUtilization,
      before,
    );
    this.utilization.set(since.utilization);
    return this.registry.metrics();
  }

  private countActivity(what: keyof Activity): void {
    this.activity = {...this.activity, [what]: this.activity[what] + 1};
  }
}
