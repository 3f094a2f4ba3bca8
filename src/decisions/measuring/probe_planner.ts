/**
 * One host's measuring: which rights to ask for, and what to probe when.
 * Events in, decisions out.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {UpstreamState} from '../routing/index.js';
import type {ProbeLeaseRecord} from './probe_leases.js';
import {ProbeLeases, USABLE_PROBE_LEASE_MS} from './probe_leases.js';
import {ProbeSchedule} from './probe_schedule.js';

/** Records that may still come back; older ones are of no use. */
const MAX_PENDING_REQUESTS = 5;

/** A service as measuring needs it. */
export interface ProbedService {
  readonly name: string;
  /** Probes a second that its configuration allows, over all upstreams. */
  readonly maxProbesPerSecond: number;
  /** Bytes a second likewise; a probe's cost is known once it is answered. */
  readonly maxBytesPerSecond: number;
  /** Homes that share the budget; 0 when this host is not one. */
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
  /** When each record was sent that has not come back yet. */
  private readonly askedAt = new Map<number, Milliseconds>();

  constructor(
    private readonly host: string,
    private readonly incarnation: number,
    private readonly clock: Clock,
  ) {}

  /**
   * The record that asks for a fair share of each budget, if any; one append
   * for all services. A right counts from before its own append.
   */
  requestLease(
    services: readonly ProbedService[],
  ): ProbeLeaseRecord | undefined {
    const asks = services
      .filter(one => one.homeCount > 0 && one.maxProbesPerSecond > 0)
      .map(({name, maxProbesPerSecond: declaredRate, homeCount: sharing}) => ({
        service: name,
        rate: declaredRate / sharing,
      }));
    if (asks.length === 0) {
      return undefined;
    }
    this.sequence += 1;
    const {host, incarnation, sequence} = this;
    this.askedAt.set(sequence, this.clock.now());
    this.askedAt.delete(sequence - MAX_PENDING_REQUESTS);
    return {kind: 'measure', host, incarnation, sequence, asks};
  }

  /** Takes in who was granted what, in log order. */
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
    const askedAt = this.askedAt.get(sequence) ?? -Infinity;
    this.askedAt.delete(sequence);
    for (const [name, rate] of granted) {
      const service = services.get(name);
      const share = rate / Math.max(service?.maxProbesPerSecond ?? rate, rate);
      const bytes = (service?.maxBytesPerSecond ?? 0) * share;
      const until = askedAt + USABLE_PROBE_LEASE_MS;
      this.scheduleOf(name).grant({rate, bytes}, until, now);
    }
  }

  /** Time until the next probe is due; Infinity: none. */
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

  /** Charges what a probe cost on the wire. */
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
