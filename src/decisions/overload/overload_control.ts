/** Admits or sheds the requests of one host by the plans in force, and measures demand. */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {DemandMeter} from './demand_meter.js';
import type {ServiceDemand} from './demand.js';
import {ElapsedEstimate} from './elapsed_estimate.js';
import {levelOf} from './levels.js';
import {shareOf} from './plan.js';
import type {PlanTable, TimedPlan} from './plan_table.js';
import {overloadRetryAfter} from './retry_after.js';
import type {
  AdmissionControl,
  AdmissionRequest,
  AdmissionVerdict,
} from './types.js';

/**
 * Searches of an admitted request without capacity. The plan admits about as
 * much as is served, so that slots are free again within some tens of milliseconds.
 */
const SEARCH_POLICIES = {
  fullyAdmitted: {intervalMs: 20, longestMs: 300},
  partlyAdmitted: {intervalMs: 40, longestMs: 120},
} as const;

/**
 * Demand may fall, and capacity return, some 400 ms before the plan shows it. Meanwhile
 * hosts admit more where they see free upstreams: none up to the first share, which a
 * full service has as well, and all from the second on.
 */
const FULL_FREE_SHARE = 0.15;
const SPARE_FREE_SHARE = 0.35;

/** Factor on run times at upstreams that are nearly full, as they are in an overload. */
const BUSY_SLOWNESS = 1.5;

const ADMITTED: AdmissionVerdict = {kind: 'admitted'};

export interface OverloadControlParts {
  readonly plans: PlanTable;
  /** Whether the configuration has customers. */
  readonly isEnabled: () => boolean;
  /**
   * Share of the upstreams with recent reports that have a free slot and aren't slow;
   * undefined if too few reports are known.
   */
  readonly freeShare: (service: string) => number | undefined;
  /** Called when a request is refused for lack of capacity. */
  readonly onNoRoom: () => void;
  readonly clock: Clock;
  readonly random: Random;
}

export class OverloadControl implements AdmissionControl {
  private readonly meters = new Map<string, DemandMeter>();

  private readonly elapsed: ElapsedEstimate;

  constructor(private readonly parts: OverloadControlParts) {
    this.elapsed = new ElapsedEstimate(parts.clock);
  }

  admit(request: AdmissionRequest): AdmissionVerdict {
    const {plans, isEnabled, clock, random} = this.parts;
    if (!isEnabled()) {
      return ADMITTED;
    }
    const {route, giveUpAt, arrivedAt} = request;
    this.elapsed.note(route, giveUpAt - arrivedAt);
    const isInTime = this.isInTime(request);
    this.meterOf(request.service).noteOffered(request, isInTime);
    const timed = plans.findShedding(request.service);
    if (!timed) {
      return ADMITTED;
    }
    const share = this.shareUnder(timed, request);
    const chance = random();
    if (chance < share || chance < this.spareShare(request)) {
      return ADMITTED;
    }
    return {
      kind: 'shed',
      retryAfterMs: this.retryAfterMs(timed, share, request),
      planAgeMs: clock.now() - timed.computedAt,
      share,
    };
  }

  notePlaced(request: AdmissionRequest): void {
    if (this.parts.isEnabled()) {
      this.meterOf(request.service).notePlaced(request);
    }
  }

  noteNoRoom(request: AdmissionRequest): void {
    if (this.parts.isEnabled()) {
      this.meterOf(request.service).noteNoRoom(request, this.isUrgent(request));
      this.parts.onNoRoom();
    }
  }

  /** Requests that are admitted in full have capacity for their retries and hedges. */
  mayRepeat(request: AdmissionRequest): boolean {
    const timed = this.planFor(request);
    return !timed || this.isFullyAdmitted(timed, request);
  }

  nextSearchMs(
    request: AdmissionRequest,
    waitedMs: Milliseconds,
  ): Milliseconds | undefined {
    const timed = this.planFor(request);
    if (!timed) {
      return undefined;
    }
    const isFull = this.isFullyAdmitted(timed, request);
    const {intervalMs, longestMs} =
      SEARCH_POLICIES[isFull ? 'fullyAdmitted' : 'partlyAdmitted'];
    const endsAt = this.parts.clock.now() + intervalMs + request.workMs;
    const isOver =
      waitedMs + intervalMs > longestMs || endsAt > request.giveUpAt;
    return isOver ? undefined : intervalMs;
  }

  noRoomRetryAfterMs(request: AdmissionRequest): Milliseconds | undefined {
    const timed = this.planFor(request);
    return (
      timed &&
      this.retryAfterMs(timed, this.shareUnder(timed, request), request)
    );
  }

  /** Demand for each service for which there are requests. */
  measure(): readonly ServiceDemand[] {
    const meters = [...this.meters.values()];
    return meters.filter(one => !one.isEmpty).map(one => one.measure());
  }

  /** Whether requests for the service were refused for lack of capacity just now. */
  hasRefusals(service: string): boolean {
    return this.meters.get(service)?.hasRefusals ?? false;
  }

  private planFor({service}: AdmissionRequest): TimedPlan | undefined {
    return this.parts.isEnabled()
      ? this.parts.plans.findShedding(service)
      : undefined;
  }

  /** Share of requests admitted beyond the plan, because upstreams are free. */
  private spareShare({service}: AdmissionRequest): number {
    const free = this.parts.freeShare(service) ?? 0;
    return (free - FULL_FREE_SHARE) / (SPARE_FREE_SHARE - FULL_FREE_SHARE);
  }

  private shareUnder({plan}: TimedPlan, request: AdmissionRequest): number {
    const {customer} = request;
    const isInTime = this.isInTime(request);
    return shareOf(plan, levelOf(request), customer, isInTime);
  }

  private isUrgent(request: AdmissionRequest): boolean {
    const timed = this.planFor(request);
    return timed !== undefined && this.isFullyAdmitted(timed, request);
  }

  private isFullyAdmitted(
    timed: TimedPlan,
    request: AdmissionRequest,
  ): boolean {
    return this.shareUnder(timed, request) >= 1;
  }

  private isInTime(request: AdmissionRequest): boolean {
    return this.slackMs(request) >= 0;
  }

  /** Time within which the request must be sent to be answered in time. */
  private slackMs(request: AdmissionRequest): Milliseconds {
    const {route, workMs, targetMs, arrivedAt, giveUpAt} = request;
    const elapsedMs = this.elapsed.elapsedMs(route, giveUpAt - arrivedAt);
    const targetAt = arrivedAt - elapsedMs + targetMs;
    return targetAt - workMs * BUSY_SLOWNESS - this.parts.clock.now();
  }

  private retryAfterMs(
    {plan: {overloadMs}}: TimedPlan,
    share: number,
    request: AdmissionRequest,
  ): Milliseconds {
    const {clock, random} = this.parts;
    const leftMs = request.giveUpAt - clock.now();
    const slackMs = this.slackMs(request);
    return overloadRetryAfter({share, overloadMs, slackMs, leftMs}, random);
  }

  private meterOf(service: string): DemandMeter {
    const known = this.meters.get(service);
    if (known) {
      return known;
    }
    const meter = new DemandMeter(service, this.parts.clock);
    this.meters.set(service, meter);
    return meter;
  }
}
