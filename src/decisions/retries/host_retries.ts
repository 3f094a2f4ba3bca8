/**
 * This host's part of the repeats that the operators allow the whole fleet.
 *
 * Each service has a window of its own. Beyond a share of first sends the fleet
 * may make some more on top; each host takes an equal part of those.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import {WindowBudget} from './window_budget.js';

/** Share of the fleet's repeats that hosts spend, with room for edges. */
const RATIO_SHARE = 0.85;
/** Share of the fleet's repeats beyond the ratio that hosts spend. */
const RESERVE_SHARE = 0.5;

/** What the operators allow all hosts together. */
export interface FleetRetries {
  readonly windowMs: Milliseconds;
  /** Repeats per first send, e.g. 0.2. */
  readonly ratio: number;
  /** Repeats beyond the ratio. */
  readonly slack: number;
}

export class HostRetries {
  private readonly budgets = new Map<string, WindowBudget>();

  /** @param hostCount hosts that share the repeats; 0 while unknown */
  constructor(
    private readonly clock: Clock,
    private readonly fleet: FleetRetries,
    private readonly hostCount: () => number,
  ) {}

  /** Notes a first send. */
  noteFirst(service: string): void {
    this.budgetOf(service).noteFirst();
  }

  /** Whether one repeat could be taken now. */
  allows(service: string): boolean {
    return this.budgetOf(service).allows(this.reserve);
  }

  /** Takes one repeat if it is allowed. */
  spend(service: string): boolean {
    return this.budgetOf(service).spend(this.reserve);
  }

  private get reserve(): number {
    const hosts = this.hostCount();
    return hosts > 0 ? (this.fleet.slack * RESERVE_SHARE) / hosts : 0;
  }

  private budgetOf(service: string): WindowBudget {
    const known = this.budgets.get(service);
    if (known) {
      return known;
    }
    const {windowMs, ratio} = this.fleet;
    const budget = new WindowBudget(this.clock, windowMs, ratio * RATIO_SHARE);
    this.budgets.set(service, budget);
    return budget;
  }
}
