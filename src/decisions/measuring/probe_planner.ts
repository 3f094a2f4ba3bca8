/** Decides which probe leases this host requests and which upstreams it probes when. */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {UpstreamState} from '../routing/index.js';
import type {ProbeLeaseRecord} from './probe_leases.js';
import {ProbeLeases, USABLE_PROBE_LEASE_MS} from './probe_leases.js';
import {ProbeSchedule} from './probe_schedule.js';

/** Lease requests that may still come back on the log; older ones are of no use. */
const MAX_PENDING_REQUESTS = 5;

/** A service whose upstreams are probed for their load. */
export interface ProbedService {
  readonly name: string;
  /** Configured maximum over all upstreams. */
  readonly maxProbesPerSecond: number;
  /**
   * Configured maximum over all upstreams; the bytes of a probe are known once it is
   * answered.
   */
  readonly maxBytesPerSecond: number;
  /** Number of home hosts that share the budget; 0 if this host is not one. */
  readonly homeCount: number;
  readonly upstreams: readonly UpstreamState[];
}

/** A probe to send. */
export interface PlannedProbe {
  readonly service: string;
  readonly upstream: string;
}

export class ProbePlanner {
  private readonly leases = new ProbeLeases();
  private readonly schedules = new Map<string, ProbeSchedule>();
  private sequence = 0;
  /** When each lease request was sent that hasn't come back on the log yet. */
  private readonly requestedAt = new Map<number, Milliseconds>();

  constructor(
    private readonly host: string,
    private readonly incarnation: number,
    private readonly clock: Clock,
  ) {}

  /**
   * The record that requests a fair share of each budget, if any; one append for all
   * services. A lease counts from before its own append.
   */
  requestLease(
    services: readonly ProbedService[],
  ): ProbeLeaseRecord | undefined {
    const asks = services
      .filter(one => one.homeCount > 0 && one.maxProbesPerSecond > 0)
      .map(({name, maxProbesPerSecond, homeCount}) => ({
        service: name,
        rate: maxProbesPerSecond / homeCount,
      }));
    if (asks.length === 0) {
      return undefined;
    }
    this.sequence += 1;
    const {host, incarnation, sequence} = this;
    this.requestedAt.set(sequence, this.clock.now());
    this.requestedAt.delete(sequence - MAX_PENDING_REQUESTS);
    return {kind: 'measure', host, incarnation, sequence, asks};
  }

  /** Applies the leases that a record requests, in log order. */
  onRecord(
    record: ProbeLeaseRecord,
    appendedAt: Milliseconds,
    services: ReadonlyMap<string, ProbedService>,
  ): void {
    const granted = this.leases.apply(
      record,
      appendedAt,
      name => services.get(name)?.maxProbesPerSecond ?? 0,
    );
    const {host, incarnation, sequence} = record;
    if (host !== this.host || incarnation !== this.incarnation) {
      return;
    }
    const now = this.clock.now();
    const requestedAt = this.requestedAt.get(sequence) ?? -Infinity;
    this.requestedAt.delete(sequence);
    for (const [name, rate] of granted) {
      const service = services.get(name);
      const share = rate / Math.max(service?.maxProbesPerSecond ?? rate, rate);
      const bytes = (service?.maxBytesPerSecond ?? 0) * share;
      const until = requestedAt + USABLE_PROBE_LEASE_MS;
      this.scheduleOf(name).grant({rate, bytes}, until, now);
    }
  }

  /** Time until the next probe is due; Infinity if none is. */
  get wait(): Milliseconds {
    const now = this.clock.now();
    let wait = Infinity;
    for (const schedule of this.schedules.values()) {
      wait = Math.min(wait, (schedule.nextProbeAt(now) ?? Infinity) - now);
    }
    return wait;
  }

  /** The probes to send now. */
  due(services: ReadonlyMap<string, ProbedService>): readonly PlannedProbe[] {
    const now = this.clock.now();
    const probes: PlannedProbe[] = [];
    for (const [service, schedule] of this.schedules) {
      const upstreams = services.get(service)?.upstreams ?? [];
      const target = schedule.next(upstreams, now);
      if (target) {
        probes.push({service, upstream: target.spec.name});
      }
    }
    return probes;
  }

  /** Charges the bytes of a probe on the wire. */
  charge(service: string, bytes: number): void {
    this.scheduleOf(service).charge(bytes);
  }

  private scheduleOf(service: string): ProbeSchedule {
    const known = this.schedules.get(service);
    if (known) {
      return known;
    }
    const schedule = new ProbeSchedule();
    this.schedules.set(service, schedule);
    return schedule;
  }
}
