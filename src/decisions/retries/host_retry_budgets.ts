/**
 * This host's part of the retries that the operators allow the whole fleet. Hedged
 * requests count as retries.
 *
 * Each service has a sliding window of its own. Beyond a ratio to its first attempts,
 * the fleet may make a fixed number of retries, which the hosts share equally.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {RetryPermit, RetryUsage} from './sliding_window_budget.js';
import {SlidingWindowBudget} from './sliding_window_budget.js';

/** Share of the ratio that hosts use; the rest is a margin for window edges. */
const RATIO_SHARE = 0.9;
/** Share of the retries beyond the ratio that hosts use. */
const SLACK_SHARE = 0.5;

/**
 * Share of the ratio that a restarted host uses for one window. The network may hold back
 * retries of its earlier lives, of which it knows nothing, and deliver them all at once.
 */
const RESTARTED_RATIO_SHARE = 0.75;

/** Bounds the length of log lines. */
const MAX_USAGES = 4;

/** The retries that the operators allow all hosts together. */
export interface FleetRetryLimits {
  readonly windowMs: Milliseconds;
  /** Retries per first attempt, e.g. 0.2. */
  readonly ratio: number;
  /** Retries beyond the ratio. */
  readonly slack: number;
}

export interface ServiceRetryUsage extends RetryUsage {
  readonly service: string;
}

export class HostRetryBudgets {
  private readonly budgets = new Map<string, SlidingWindowBudget>();
  /** When what earlier lives of this host have sent no longer counts. */
  private readonly settledFrom: Milliseconds;

  /**
   * @param hostCount hosts that share the retries; 0 while unknown
   * @param isFirstStart whether the whole fleet starts for the first time
   */
  constructor(
    private readonly clock: Clock,
    private readonly fleet: FleetRetryLimits,
    private readonly hostCount: () => number,
    isFirstStart: boolean,
  ) {
    this.settledFrom = isFirstStart ? -Infinity : clock.now() + fleet.windowMs;
  }

  noteFirstAttempt(service: string): void {
    this.budgetOf(service).noteFirstAttempt();
  }

  /** Whether a retry is allowed, without consuming it. */
  allows(service: string): boolean {
    return this.budgetOf(service).allows(this.hostSlack, this.ratioShare);
  }

  /** Consumes a retry; undefined if none is allowed. */
  trySpend(service: string): RetryPermit | undefined {
    return this.budgetOf(service).trySpend(this.hostSlack, this.ratioShare);
  }

  /** The services with most retries that count, at most `MAX_USAGES` of them. */
  get usage(): readonly ServiceRetryUsage[] {
    return [...this.budgets]
      .map(([service, budget]) => ({service, ...budget.usage}))
      .filter(({retries}) => retries > 0)
      .sort((a, b) => b.retries - a.retries)
      .slice(0, MAX_USAGES);
  }

  private get hostSlack(): number {
    const hosts = this.hostCount();
    return hosts > 0 && this.isSettled
      ? (this.fleet.slack * SLACK_SHARE) / hosts
      : 0;
  }

  private get ratioShare(): number {
    return this.isSettled ? 1 : RESTARTED_RATIO_SHARE;
  }

  private get isSettled(): boolean {
    return this.clock.now() >= this.settledFrom;
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
