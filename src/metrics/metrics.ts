/** What the host counts, for Prometheus. */

import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {Milliseconds} from '../time/index.js';

/** Tenants with a histogram of their own; the rest share `other`. */
const MAX_TENANT_LABELS = 50;
const OTHER_TENANTS = 'other';
/** Upper bounds in seconds. */
const DURATION_BUCKETS_SECONDS = [
  0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10,
];

/** How a request ended, for counting. */
export type RequestOutcome = 'answered' | 'not-run' | 'unknown' | 'abandoned';

export class Metrics {
  readonly registry = new Registry();
  readonly refusals = new Counter({
    name: 'cyclamenlever_refusals_total',
    help: 'Answers made by the balancer itself, by reason',
    labelNames: ['service', 'reason', 'outcome'] as const,
    registers: [this.registry],
  });
  readonly attempts = new Counter({
    name: 'cyclamenlever_attempts_total',
    help: 'Attempts at upstreams; kind is first, retry, hedge or handover',
    labelNames: ['service', 'kind'] as const,
    registers: [this.registry],
  });
  readonly probes = new Counter({
    name: 'cyclamenlever_probes_total',
    help: 'Load probes sent: the measuring cost',
    labelNames: ['service'] as const,
    registers: [this.registry],
  });
  readonly logOffset = new Gauge({
    name: 'cyclamenlever_configuration_offset',
    help: 'Log offset up to which the configuration is in force here',
    registers: [this.registry],
  });
  readonly logAge = new Gauge({
    name: 'cyclamenlever_log_age_seconds',
    help: 'Seconds since this host last knew the end of the log',
    registers: [this.registry],
  });
  readonly ready = new Gauge({
    name: 'cyclamenlever_ready',
    help: '1 while the host is in service',
    registers: [this.registry],
  });
  readonly controlBytes = new Counter({
    name: 'cyclamenlever_control_bytes_total',
    help: 'Bytes of control traffic, by peer or log and direction',
    labelNames: ['with', 'direction'] as const,
    registers: [this.registry],
  });
  readonly degraded = new Gauge({
    name: 'cyclamenlever_degraded_input',
    help: '1 while an input is missing or stale, by input',
    labelNames: ['input'] as const,
    registers: [this.registry],
  });
  private readonly duration = new Histogram({
    name: 'cyclamenlever_request_seconds',
    help: 'Time from the whole request head to the end of the answer',
    labelNames: ['service', 'class', 'outcome'] as const,
    buckets: DURATION_BUCKETS_SECONDS,
    registers: [this.registry],
  });
  private readonly tenantDuration = new Histogram({
    name: 'cyclamenlever_tenant_request_seconds',
    help: 'The same for each tenant, the first so many',
    labelNames: ['tenant'] as const,
    buckets: DURATION_BUCKETS_SECONDS,
    registers: [this.registry],
  });
  private readonly tenants = new Set<string>();

  observeRequest(
    labels: {service: string; class: string; outcome: RequestOutcome},
    tenant: string,
    durationMs: Milliseconds,
  ): void {
    this.duration.observe(labels, durationMs / 1000);
    this.tenantDuration.observe(
      {tenant: this.tenantLabel(tenant)},
      durationMs / 1000,
    );
  }

  /** Callers choose tenant names; an unbounded label would fill the memory. */
  private tenantLabel(tenant: string): string {
    if (this.tenants.has(tenant)) {
      return tenant;
    }
    if (this.tenants.size >= MAX_TENANT_LABELS) {
      return OTHER_TENANTS;
    }
    this.tenants.add(tenant);
    return tenant;
  }
}
