/** Prometheus metrics of an entry host. */

import {performance} from 'node:perf_hooks';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {Clock, Milliseconds} from '../time/index.js';
import {systemClock} from '../time/index.js';
import {CustomerMetrics} from './customer_metrics.js';

/** Upper bounds: dense around latency targets of 0.4 to 2 s. */
const DURATION_BUCKETS_SECONDS = [
  0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4, 6, 10,
];
const MS_PER_SECOND = 1_000;

/** Outcomes of requests that this host refused: they have not run. */
const REFUSALS: ReadonlySet<string> = new Set([
  'unknown-key',
  'over-quota',
  'shed',
  'no-room',
  'host-busy',
  'no-upstream',
  'upstreams-refused',
  'waited-too-long',
  'quarantined',
  'not-ready',
  'newer-configuration',
  'unusable-route',
]);

/** Gauge values, read when metrics are scraped. */
export interface HostGauges {
  readonly ready: boolean;
  readonly isReader: boolean;
  readonly version: number | undefined;
  /** Whether a newer configuration is known that can't be used. */
  readonly isBehind: boolean;
  readonly ageMs: Milliseconds;
  readonly upstreams: number;
  readonly hosts: number;
  readonly inFlight: number;
  readonly downloads: number;
  /** Time that the network link needs to send the downloads in flight. */
  readonly downloadLinkMs: Milliseconds;
  readonly looking: number;
  /** Upstreams that currently announce a rate limit. */
  readonly rateLimited: number;
  /** Upstreams whose backoff has not ended. */
  readonly backoffs: number;
  /** Services of which this host can reach no upstream. */
  readonly cutOff: number;
  /** Open connections to upstreams for hosts that are cut off. */
  readonly tunnels: number;
  /** Requests under which upstreams crashed, whether quarantined or not. */
  readonly suspects: number;
  /** Data centres that get no new requests. */
  readonly evacuated: number;
  readonly quarantined: number;
  /** Upstream instances that are confirmed to have crashed under requests. */
  readonly endedInstances: number;
}

/** Counts since the last call of `takeActivity`. */
export interface Activity {
  readonly requests: number;
  readonly probes: number;
  readonly hedges: number;
  /** Sends to other data centres. */
  readonly remote: number;
  /** Retries and hedges that the budget allowed. */
  readonly retries: number;
  /** Attempts that ended before the upstream answered or closed the connection. */
  readonly abandoned: number;
}

const NO_ACTIVITY: Activity = {
  requests: 0,
  probes: 0,
  hedges: 0,
  remote: 0,
  retries: 0,
  abandoned: 0,
};

/** A request that has ended. */
export interface EndedRequest {
  /** Rank of its route. */
  readonly rank: number;
  readonly outcome: string;
  readonly elapsedMs: Milliseconds;
  /** Name of the customer that sent it; undefined if it needed no key. */
  readonly customer: string | undefined;
}

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
  private readonly refusedRequests = new Counter({
    name: 'cyclamenlever_refused_requests_total',
    help: 'Requests that were refused as not run, by class (rank of their route) and reason',
    labelNames: ['class', 'reason'] as const,
    registers: this.registers,
  });
  private readonly customers: CustomerMetrics;
  private readonly attempts = new Counter({
    name: 'cyclamenlever_attempts_total',
    help: 'Sends to upstreams by result',
    labelNames: ['result'] as const,
    registers: this.registers,
  });
  private readonly placements = new Counter({
    name: 'cyclamenlever_placements_total',
    help: 'Sends to upstreams by data centre: near or remote',
    labelNames: ['place'] as const,
    registers: this.registers,
  });
  private readonly retries = new Counter({
    name: 'cyclamenlever_repeats_total',
    help: 'Repeats that the budget of retries allowed, hedges among them',
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
  private readonly incompleteDeliveries = new Counter({
    name: 'cyclamenlever_incomplete_deliveries_total',
    help: 'Requests whose connection closed before their whole response was sent, by who closed it: host, caller',
    labelNames: ['closed_by'] as const,
    registers: this.registers,
  });
  private readonly closedConnections = new Counter({
    name: 'cyclamenlever_closed_connections_total',
    help: 'Connections of callers that were closed for the sake of others, by reason: memory, descriptors, unread',
    labelNames: ['reason'] as const,
    registers: this.registers,
  });
  private readonly internalErrors = new Counter({
    name: 'cyclamenlever_internal_errors_total',
    help: 'Internal errors, most of which ended one request, probe or connection',
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
    help: 'State of this host: ready, reader, version, behind, age_seconds, upstreams, evacuated, hosts, in_flight, downloads, download_link_seconds, looking, rate_limited, backoffs, cut_off, tunnels, suspects, quarantined, ended_lives',
    labelNames: ['figure'] as const,
    registers: this.registers,
  });
  private readonly utilization = new Gauge({
    name: 'cyclamenlever_event_loop_utilization',
    help: 'Share of the time since the last reading that the loop was busy',
    registers: this.registers,
  });

  constructor(clock: Clock = systemClock) {
    this.customers = new CustomerMetrics(this.registry, clock);
  }

  countRequest({rank, outcome, elapsedMs, customer}: EndedRequest): void {
    const labels = {class: classOf(rank)};
    this.countActivity('requests');
    this.countOutcome(labels.class, outcome);
    this.durations.observe(labels, elapsedMs / MS_PER_SECOND);
    if (customer !== undefined) {
      this.customers.countRequest(customer, outcome, elapsedMs);
    }
  }

  /**
   * Counts a request that was refused before an upstream was looked for.
   *
   * @param rank rank of its route; undefined if no route was found
   */
  countRefusal(outcome: string, rank?: number): void {
    this.countOutcome(rank === undefined ? 'none' : classOf(rank), outcome);
  }

  countAttempt(result: string): void {
    this.attempts.inc({result});
  }

  countPlacement(isNear: boolean): void {
    this.placements.inc({place: isNear ? 'near' : 'remote'});
    if (!isNear) {
      this.countActivity('remote');
    }
  }

  countRetry(): void {
    this.retries.inc();
    this.countActivity('retries');
  }

  countRefusedRetry(): void {
    this.refusedRetries.inc();
  }

  countAbandonedAttempt(): void {
    this.countActivity('abandoned');
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

  countIncompleteDelivery(closedBy: string): void {
    this.incompleteDeliveries.inc({closed_by: closedBy});
  }

  countClosedConnection(reason: string): void {
    this.closedConnections.inc({reason});
  }

  countInternalError(): void {
    this.internalErrors.inc();
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

  /** Counts since the last call; undefined if nothing was counted. */
  takeActivity(): Activity | undefined {
    const {activity} = this;
    this.activity = NO_ACTIVITY;
    return activity === NO_ACTIVITY ? undefined : activity;
  }

  /** Renders all metrics in Prometheus' text format. */
  render(gauges: HostGauges): Promise<string> {
    const values: Readonly<Record<string, number>> = {
      ready: Number(gauges.ready),
      reader: Number(gauges.isReader),
      behind: Number(gauges.isBehind),
      version: gauges.version ?? 0,
      age_seconds: gauges.ageMs / MS_PER_SECOND,
      upstreams: gauges.upstreams,
      hosts: gauges.hosts,
      in_flight: gauges.inFlight,
      downloads: gauges.downloads,
      download_link_seconds: gauges.downloadLinkMs / MS_PER_SECOND,
      looking: gauges.looking,
      rate_limited: gauges.rateLimited,
      backoffs: gauges.backoffs,
      cut_off: gauges.cutOff,
      tunnels: gauges.tunnels,
      suspects: gauges.suspects,
      evacuated: gauges.evacuated,
      quarantined: gauges.quarantined,
      ended_lives: gauges.endedInstances,
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
    this.customers.prune();
    return this.registry.metrics();
  }

  private countOutcome(requestClass: string, outcome: string): void {
    this.requests.inc({class: requestClass, outcome});
    if (REFUSALS.has(outcome)) {
      this.refusedRequests.inc({class: requestClass, reason: outcome});
    }
  }

  private countActivity(what: keyof Activity): void {
    this.activity = {...this.activity, [what]: this.activity[what] + 1};
  }
}

function classOf(rank: number): string {
  return `rank-${rank}`;
}
