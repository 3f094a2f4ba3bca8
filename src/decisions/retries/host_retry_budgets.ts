/**
 * This host's part of the repeats that the operators allow the whole fleet.
 *
 * Each service has a window of its own. Beyond a share of first sends the fleet
 * may make some more on top; each host takes an equal part of those.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import {SlidingWindowBudget} from './sliding_window_budget.js';

/** Share of the fleet's repeats that hosts spend, with room for edges. */
const RATIO_SHARE = 0.85;
/** Share of the fleet's repeats beyond the ratio that hosts spend. */
const SLACK_SHARE = 0.5;

/** What the operators allow all hosts together. */
export interface FleetRetryLimits {
  readonly windowMs: Milliseconds;
  /** Repeats per first send, e.g. 0.2. */
  readonly ratio: number;
  /** Repeats beyond the ratio. */
  readonly slack: number;
}

export class HostRetryBudgets {
  private readonly budgets = new Map<string, SlidingWindowBudget>();

  /** @param hostCount hosts that share the repeats; 0 while unknown */
  constructor(
    private readonly clock: Clock,
    private readonly fleet: FleetRetryLimits,
    private readonly hostCount: () => number,
  ) {}

  /** Notes a first send. */
  noteFirstAttempt(service: string): void {
    this.budgetOf(service).noteFirstAttempt();
  }

  /** Whether one repeat could be taken now. */
  allows(service: string): boolean {
    return this.budgetOf(service).allows(this.hostSlack);
  }

  /** Takes one repeat if it is allowed. */
  trySpend(service: string): boolean {
    return this.budgetOf(service).trySpend(this.hostSlack);
  }

  private get hostSlack(): number {
    const hosts = this.hostCount();
    return hosts > 0 ? (this.fleet.slack * SLACK_SHARE) / hosts : 0;
  }

  private budgetOf(service: string): SlidingWindowBudget {
    const known = this.budgets.get(service);
    if (known) {
      return known;
    }
    const {windowMs, ratio} = this.fleet;
    const budget = new SlidingWindowBudget(
      this.clock,
      windowMs,
      ratio * RATIO_SHARE,
    );
    this.budgets.set(service, budget);
    return budget;
  }
}
