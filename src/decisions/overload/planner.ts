/** Decides at the root of the distribution tree which plan is in force for a service. */

import type {Milliseconds} from '../../time/index.js';
import {CapacityEstimate} from './capacity_estimate.js';
import type {ServiceDemand} from './demand.js';
import {noRoomShareOf, offeredOf} from './demand.js';
import type {AdmissionPlan, PlanPhase} from './plan.js';
import {NOTHING_SHED, planShares} from './plan.js';

/**
 * Refusals of the fleet after which all hosts are to report their demand, and their share
 * of the requests where these were counted by an earlier watch. Large fleets have several
 * refusals at a time in calm.
 */
const WATCH_REFUSALS = 3;
const WATCH_SHARE = 0.04;
/** Load may have changed since a watch that is longer ago. */
const WATCH_VALIDITY_MS: Milliseconds = 30_000;
/** Time for which they report before the refusals are taken for chance. */
const WATCH_MS: Milliseconds = 500;
/** All reports are in after this time. */
const MIN_WATCH_MS: Milliseconds = 60;
/**
 * Refusals from which a service is overloaded, and their share. Upstreams that are slow
 * for 300 ms at a time cause single refusals in calm as well.
 */
const OVERLOAD_REFUSALS = 8;
const OVERLOAD_SHARE = 0.08;
/**
 * A plan that sheds nothing ends after this time. Demand may pause for a measuring window
 * within an overload, and a new plan needs some 200 ms to begin.
 */
const END_AFTER_MS: Milliseconds = 500;

/** The plan without what identifies it. */
export type PlanOutline = Omit<AdmissionPlan, 'planner' | 'sequence' | 'ageMs'>;

export class ServicePlanner {
  private phase: PlanPhase = 'ended';
  private since: Milliseconds = -Infinity;
  private overloadedSince: Milliseconds = -Infinity;
  private neededAt: Milliseconds = -Infinity;
  private capacity = new CapacityEstimate();
  /** Requests within the window, as the last watch counted them. */
  private counted = {placements: 0, at: -Infinity};

  constructor(private readonly service: string) {}

  get isActive(): boolean {
    return this.phase !== 'ended';
  }

  get isShedding(): boolean {
    return this.phase === 'shedding';
  }

  /** Returns the plan to announce, if there is one. */
  update(demand: ServiceDemand, now: Milliseconds): PlanOutline | undefined {
    const before = this.phase;
    this.phase = this.nextPhase(demand, now);
    if (this.phase !== before) {
      this.since = now;
    }
    if (this.phase === 'shedding' && before !== 'shedding') {
      this.overloadedSince = now;
      this.neededAt = now;
      this.capacity = new CapacityEstimate();
    }
    if (this.phase === 'shedding') {
      return this.shed(demand, now);
    }
    return this.phase === 'watching' || before !== 'ended'
      ? this.outline(demand, now, 0)
      : undefined;
  }

  private nextPhase(demand: ServiceDemand, now: Milliseconds): PlanPhase {
    switch (this.phase) {
      case 'ended':
        return this.isSuspicious(demand, now) ? 'watching' : 'ended';
      case 'watching':
        return this.afterWatching(demand, now);
      case 'shedding':
        return now - this.neededAt > END_AFTER_MS ? 'ended' : 'shedding';
      default:
        return this.phase satisfies never;
    }
  }

  private afterWatching(demand: ServiceDemand, now: Milliseconds): PlanPhase {
    const watchedMs = now - this.since;
    const isOverloaded =
      demand.refusals >= OVERLOAD_REFUSALS &&
      noRoomShareOf(demand) >= OVERLOAD_SHARE;
    if (isOverloaded && watchedMs >= MIN_WATCH_MS) {
      return 'shedding';
    }
    if (watchedMs >= MIN_WATCH_MS) {
      this.counted = {placements: demand.placements, at: now};
    }
    const isOver = watchedMs >= WATCH_MS && !this.isSuspicious(demand, now);
    return isOver ? 'ended' : 'watching';
  }

  /** Whether so many requests are refused that all hosts are to report. */
  private isSuspicious({refusals}: ServiceDemand, now: Milliseconds): boolean {
    const {placements, at} = this.counted;
    const usual = now - at <= WATCH_VALIDITY_MS ? placements * WATCH_SHARE : 0;
    return refusals >= Math.max(WATCH_REFUSALS, usual);
  }

  private shed(demand: ServiceDemand, now: Milliseconds): PlanOutline {
    const capacity = this.capacity.update(demand, now);
    const shares = planShares(demand, capacity);
    if (shares.cutOffLevel !== null) {
      this.neededAt = now;
    }
    return {...this.outline(demand, now, capacity), ...shares};
  }

  private outline(
    demand: ServiceDemand,
    now: Milliseconds,
    capacity: number,
  ): PlanOutline {
    const {service, phase, overloadedSince} = this;
    return {
      ...NOTHING_SHED,
      service,
      phase,
      overloadMs: phase === 'shedding' ? now - overloadedSince : 0,
      capacity,
      offered: offeredOf(demand),
    };
  }
}
