/** The newest plan of each service, as this host knows it. */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {AdmissionPlan} from './plan.js';

/** Older plans are ignored: the overload may be over, or the planner unreachable. */
export const PLAN_LIFETIME_MS: Milliseconds = 1_000;

export interface TimedPlan {
  readonly plan: AdmissionPlan;
  readonly computedAt: Milliseconds;
}

export class PlanTable {
  private readonly plans = new Map<string, TimedPlan>();

  constructor(private readonly clock: Clock) {}

  /** Services for which a plan is known, in force or not. */
  get services(): readonly string[] {
    return [...this.plans.keys()];
  }

  /** Returns whether the plan is newer than the known one. */
  applyIfNewer(plan: AdmissionPlan): boolean {
    const computedAt = this.clock.now() - plan.ageMs;
    const known = this.plans.get(plan.service);
    // A host that moves in the tree may get the same plan twice, or, if updates run in a
    // loop, again and again.
    const isNewer =
      !known ||
      (known.plan.planner === plan.planner
        ? plan.sequence > known.plan.sequence
        : computedAt > known.computedAt);
    if (isNewer) {
      this.plans.set(plan.service, {plan, computedAt});
    }
    return isNewer;
  }

  /** The plan of a service, unless it has ended or is too old. */
  find(service: string): TimedPlan | undefined {
    const known = this.plans.get(service);
    return known && known.plan.phase !== 'ended' && this.isRecent(known)
      ? known
      : undefined;
  }

  /** The same if it sheds requests. */
  findShedding(service: string): TimedPlan | undefined {
    const known = this.find(service);
    return known?.plan.phase === 'shedding' ? known : undefined;
  }

  private isRecent({computedAt}: TimedPlan): boolean {
    return this.clock.now() - computedAt <= PLAN_LIFETIME_MS;
  }
}
