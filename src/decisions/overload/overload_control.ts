/** Admits or sheds the requests of one host by the plans in force, and measures demand. */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {DemandMeter} from './demand_meter.js';
import type {ServiceDemand} from './demand.js';
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
 * Searches of an admitted request without capacity, by urgency. The plan admits about as
 * much as is served, so that slots are free again within some tens of milliseconds.
 */
const SEARCH_POLICIES = {
  urgent: {intervalMs: 20, longestMs: 300},
  cutOff: {intervalMs: 40, longestMs: 120},
} as const;

const ADMITTED: AdmissionVerdict = {kind: 'admitted'};

export interface OverloadControlParts {
  readonly plans: PlanTable;
  /** Whether the configuration has customers. */
  readonly isEnabled: () => boolean;
  /** Called when a request is refused for lack of capacity. */
  readonly onNoRoom: () => void;
  readonly clock: Clock;
  readonly random: Random;
}

export class OverloadControl implements AdmissionControl {
  private readonly meters = new Map<string, DemandMeter>();

  constructor(private readonly parts: OverloadControlParts) {}

  admit(request: AdmissionRequest): AdmissionVerdict {
    const {plans, isEnabled, clock, random} = this.parts;
    if (!isEnabled()) {
      return ADMITTED;
    }
    const isInTime = this.isInTime(request);
    this.meterOf(request.service).noteOffered(request, isInTime);
    const timed = plans.findShedding(request.service);
    if (!timed) {
      return ADMITTED;
    }
    const share = this.shareUnder(timed, request);
    if (random() < share) {
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
      this.meterOf(request.service).noteNoRoom(request);
      this.parts.onNoRoom();
    }
  }

  noteNotRun(request: AdmissionRequest): void {
    if (this.parts.isEnabled()) {
      this.meterOf(request.service).noteNotRun(request);
      this.parts.onNoRoom();
    }
  }

  /** Levels that are admitted in full have capacity for their retries and hedges. */
  mayRepeat(request: AdmissionRequest): boolean {
    const timed = this.planFor(request);
    return !timed || this.isAboveCutOff(timed, request);
  }

  nextSearchMs(
    request: AdmissionRequest,
    waitedMs: Milliseconds,
  ): Milliseconds | undefined {
    const timed = this.planFor(request);
    if (!timed) {
      return undefined;
    }
    const isUrgent = this.isAboveCutOff(timed, request);
    const {intervalMs, longestMs} =
      SEARCH_POLICIES[isUrgent ? 'urgent' : 'cutOff'];
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

  private shareUnder({plan}: TimedPlan, request: AdmissionRequest): number {
    const {customer} = request;
    const isInTime = this.isInTime(request);
    return shareOf(plan, levelOf(request), customer, isInTime);
  }

  private isAboveCutOff({plan}: TimedPlan, request: AdmissionRequest): boolean {
    const {cutOffLevel} = plan;
    return cutOffLevel === null || levelOf(request) < cutOffLevel;
  }

  private isInTime({workMs, targetAt}: AdmissionRequest): boolean {
    return this.parts.clock.now() + workMs <= targetAt;
  }

  private retryAfterMs(
    {plan}: TimedPlan,
    share: number,
    {giveUpAt}: AdmissionRequest,
  ): Milliseconds {
    const {clock, random} = this.parts;
    const leftMs = giveUpAt - clock.now();
    return overloadRetryAfter(share, plan.overloadMs, leftMs, random);
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
