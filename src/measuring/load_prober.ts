/** Probes upstreams of the services that this host is a home host of. */

import type {Logger} from 'pino';
import type {
  ProbedService,
  PlannedProbe,
} from '../decisions/measuring/index.js';
import {ProbePlanner, probeLeaseSchema} from '../decisions/measuring/index.js';
import type {Metrics} from '../metrics/index.js';
import type {LogRecord, LogService} from '../log_service/index.js';
import type {ServiceDirectory, ServiceRuntime} from '../service/index.js';
import type {Clock, Milliseconds} from '../time/index.js';
import type {Transport} from '../transport/index.js';
import {Probe} from './probe.js';

/** Interval between lease requests. */
const LEASE_RENEWAL_MS: Milliseconds = 4_000;
/** Maximum time until schedules are checked again. */
const IDLE_CHECK_MS: Milliseconds = 500;

export interface LoadProberOptions {
  readonly host: string;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly transport: Transport;
  readonly services: ServiceDirectory;
  /** Number of home hosts of a service in the fleet; 0 if this host is not one. */
  readonly homeCountOf: (service: ServiceRuntime) => number;
}

export class LoadProber {
  private readonly planner: ProbePlanner;
  private renewTimer: NodeJS.Timeout | undefined;
  private probeTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly log: LogService,
    private readonly options: LoadProberOptions,
  ) {
    const {host, incarnation, clock} = options;
    this.planner = new ProbePlanner(host, incarnation, clock);
  }

  start(): void {
    this.renewTimer = setInterval(
      () => void this.requestLease(),
      LEASE_RENEWAL_MS,
    );
    this.scheduleProbes();
  }

  stop(): void {
    clearInterval(this.renewTimer);
    clearTimeout(this.probeTimer);
  }

  /** Applies a record of the log if it requests probe leases. */
  onRecord(record: LogRecord, body: unknown): void {
    const parsed = probeLeaseSchema.safeParse(body);
    if (parsed.success) {
      const services = this.probedServices();
      this.planner.onRecord(parsed.data, record.appendedAt, services);
    }
  }

  private async requestLease(): Promise<void> {
    const record = this.planner.requestLease([
      ...this.probedServices().values(),
    ]);
    if (!record) {
      return;
    }
    const appended = await this.log.append(JSON.stringify(record));
    if (appended.isErr()) {
      const failure = appended.error;
      this.options.logger.debug({failure}, 'probe lease request failed');
    }
  }

  private probedServices(): ReadonlyMap<string, ProbedService> {
    const services = new Map<string, ProbedService>();
    for (const runtime of this.options.services.all) {
      const {name, probes, 'probe-bytes': bytes} = runtime.service;
      if (probes > 0) {
        services.set(name, {
          name,
          maxProbesPerSecond: probes * runtime.upstreams.length,
          maxBytesPerSecond: bytes * runtime.upstreams.length,
          homeCount: this.options.homeCountOf(runtime),
          upstreams: runtime.upstreamStates,
        });
      }
    }
    return services;
  }

  private scheduleProbes(): void {
    const delay = Math.min(IDLE_CHECK_MS, this.planner.wait);
    this.probeTimer = setTimeout(
      () => {
        const due = this.planner.due(this.probedServices());
        due.forEach(planned => this.probe(planned));
        this.scheduleProbes();
      },
      Math.max(1, delay),
    );
  }

  private probe({service, upstream: name}: PlannedProbe): void {
    const {metrics, transport, services} = this.options;
    const runtime = services.get(service);
    const upstream = runtime?.findUpstream(name);
    if (!runtime || !upstream) {
      return;
    }
    metrics.probes.inc({service});
    const probe = new Probe(({load, leaving, bytes}) => {
      this.planner.charge(service, bytes);
      runtime.setSelfLeaving(name, leaving);
      if (load !== undefined) {
        runtime.handleEvent({kind: 'reported', upstream: name, load});
      }
    });
    probe.send(transport, upstream.at, runtime.service.load);
  }
}
