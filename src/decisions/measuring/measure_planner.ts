/**
 * One host's measuring: which rights to ask for, and what to probe when.
 * Events in, decisions out.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {UpstreamState} from '../routing/index.js';
import type {MeasureRecord} from './measure_rights.js';
import {MeasureRights, USABLE_RIGHT_MS} from './measure_rights.js';
import {ProbeSchedule} from './probe_schedule.js';

/** Records that may still come back; older ones are of no use. */
const KEPT_ASKS = 5;

/** A service as measuring needs it. */
export interface MeasuredService {
  readonly name: string;
  /** Probes a second that its configuration allows, over all upstreams. */
  readonly declaredRate: number;
  /** Bytes a second likewise; a probe's cost is known once it is answered. */
  readonly declaredBytes: number;
  /** Homes that share the budget; 0 when this host is not one. */
  readonly sharing: number;
  readonly upstreams: readonly UpstreamState[];
}

/** A probe to send. */
export interface PlannedProbe {
  readonly service: string;
  readonly upstream: string;
}

export class MeasurePlanner {
  private readonly rights = new MeasureRights();
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
  ask(services: readonly MeasuredService[]): MeasureRecord | undefined {
    const asks = services
      .filter(one => one.sharing > 0 && one.declaredRate > 0)
      .map(({name, declaredRate, sharing}) => ({
        service: name,
        rate: declaredRate / sharing,
      }));
    if (asks.length === 0) {
      return undefined;
    }
    this.sequence += 1;
    const {host, incarnation, sequence} = this;
    this.askedAt.set(sequence, this.clock.now());
    this.askedAt.delete(sequence - KEPT_ASKS);
    return {kind: 'measure', host, incarnation, sequence, asks};
  }

  /** Takes in who was granted what, in log order. */
  onRecord(
    record: MeasureRecord,
    appendedAt: Milliseconds,
    services: ReadonlyMap<string, MeasuredService>,
  ): void {
    const granted = this.rights.apply(
      record,
      appendedAt,
      name => services.get(name)?.declaredRate ?? 0,
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
      const share = rate / Math.max(service?.declaredRate ?? rate, rate);
      const bytes = (service?.declaredBytes ?? 0) * share;
      const until = askedAt + USABLE_RIGHT_MS;
      this.scheduleOf(name).grant({rate, bytes}, until, now);
    }
  }

  /** Time until the next probe is due; Infinity: none. */
  get wait(): Milliseconds {
    const now = this.clock.now();
    let wait = Infinity;
    for (const schedule of this.schedules.values()) {
      wait = Math.min(wait, (schedule.wakeAt(now) ?? Infinity) - now);
    }
    return wait;
  }

  /** The probes to send now. */
  due(services: ReadonlyMap<string, MeasuredService>): readonly PlannedProbe[] {
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
