/** Probes upstreams for the services that this host is a home of. */

import type {Logger} from 'pino';
import type {Upstream} from '../decisions/configuration/index.js';
import type {MeasureRecord} from '../decisions/measuring/index.js';
import {
  MeasureRights,
  ProbeSchedule,
  USABLE_RIGHT_MS,
  measureSchema,
} from '../decisions/measuring/index.js';
import type {Metrics} from '../metrics/index.js';
import type {LogRecord, PlatformLog} from '../platform/index.js';
import type {ServiceDirectory, ServiceRuntime} from '../service/index.js';
import type {Clock, Milliseconds} from '../time/index.js';
import type {Transport} from '../transport/index.js';
import {Probe} from './probe.js';

/** How often rights are asked for anew. */
const RENEW_MS: Milliseconds = 4_000;
/** Records that may still come back; older ones are of no use. */
const KEPT_ASKS = 5;
/** Idle schedules are looked at this often, in ms. */
const IDLE_CHECK_MS: Milliseconds = 500;

export interface MeasureDeskOptions {
  readonly host: string;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly transport: Transport;
  readonly services: ServiceDirectory;
  /** Homes of a service in the whole fleet; 0 when this host is not one. */
  readonly homesSharing: (service: ServiceRuntime) => number;
}

export class MeasureDesk {
  private readonly rights = new MeasureRights();
  private readonly schedules = new Map<string, ProbeSchedule>();
  private sequence = 0;
  /** When each record was sent that has not come back yet. */
  private readonly askedAt = new Map<number, Milliseconds>();
  private renewTimer: NodeJS.Timeout | undefined;
  private probeTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly log: PlatformLog,
    private readonly options: MeasureDeskOptions,
  ) {}

  start(): void {
    this.renewTimer = setInterval(() => void this.ask(), RENEW_MS);
    this.planProbes();
  }

  stop(): void {
    clearInterval(this.renewTimer);
    clearTimeout(this.probeTimer);
  }

  /** Takes in who was granted what. */
  onRecord(record: LogRecord, body: unknown): void {
    const parsed = measureSchema.safeParse(body);
    if (!parsed.success) {
      return;
    }
    const granted = this.rights.apply(parsed.data, record.appendedAt, service =>
      this.declaredRate(service),
    );
    if (this.isOwn(parsed.data)) {
      this.useGrants(parsed.data.sequence, granted);
    }
  }

  /** Asks for a fair share of each budget; one append for all of them. */
  private async ask(): Promise<void> {
    const asks = [...this.options.services.all].flatMap(runtime => {
      const sharing = this.options.homesSharing(runtime);
      const {name} = runtime.service;
      const declared = this.declaredRate(name);
      return sharing > 0 && declared > 0
        ? [{service: name, rate: declared / sharing}]
        : [];
    });
    if (asks.length === 0) {
      return;
    }
    const {host, incarnation, clock, logger} = this.options;
    this.sequence += 1;
    const {sequence} = this;
    // A right counts from before its own append: see USABLE_RIGHT_MS.
    this.askedAt.set(sequence, clock.now());
    this.askedAt.delete(sequence - KEPT_ASKS);
    const record: MeasureRecord = {
      kind: 'measure',
      host,
      incarnation,
      sequence,
      asks,
    };
    const appended = await this.log.append(JSON.stringify(record));
    if (appended.isErr()) {
      logger.debug({failure: appended.error}, 'no right to probe');
    }
  }

  private isOwn({host, incarnation}: MeasureRecord): boolean {
    return (
      host === this.options.host && incarnation === this.options.incarnation
    );
  }

  private useGrants(
    sequence: number,
    granted: ReadonlyMap<string, number>,
  ): void {
    const now = this.options.clock.now();
    const askedAt = this.askedAt.get(sequence) ?? -Infinity;
    this.askedAt.delete(sequence);
    for (const [service, rate] of granted) {
      const schedule = this.schedules.get(service) ?? new ProbeSchedule();
      schedule.grant(rate, askedAt + USABLE_RIGHT_MS, now);
      this.schedules.set(service, schedule);
    }
  }

  /** Probes a second over all upstreams of a service. */
  private declaredRate(service: string): number {
    const runtime = this.options.services.get(service);
    return runtime ? runtime.service.probes * runtime.upstreams.length : 0;
  }

  private planProbes(): void {
    const now = this.options.clock.now();
    const wakes = [...this.schedules.values()].flatMap(schedule => {
      const at = schedule.wakeAt(now);
      return at === undefined ? [] : [at - now];
    });
    const delay = Math.min(IDLE_CHECK_MS, ...wakes);
    this.probeTimer = setTimeout(
      () => {
        this.probeDue();
        this.planProbes();
      },
      Math.max(1, delay),
    );
  }

  private probeDue(): void {
    const now = this.options.clock.now();
    for (const [service, schedule] of this.schedules) {
      const runtime = this.options.services.get(service);
      const target = runtime && schedule.next(runtime.upstreamStates, now);
      const upstream = target && runtime.findUpstream(target.spec.name);
      if (runtime && upstream) {
        this.probe(runtime, upstream);
      }
    }
  }

  private probe(runtime: ServiceRuntime, upstream: Upstream): void {
    const {metrics, transport} = this.options;
    metrics.probes.inc({service: runtime.service.name});
    const probe = new Probe(({load, leaving}) => {
      runtime.setUnhealthy(upstream.name, leaving);
      if (load !== undefined) {
        const {name} = upstream;
        runtime.tell({kind: 'reported', upstream: name, load});
      }
    });
    probe.send(transport, upstream.at, runtime.service.load);
  }
}
