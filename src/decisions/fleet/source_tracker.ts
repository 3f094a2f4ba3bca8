/**
 * Tracks whether a host has a source: its data comes from the store now, read
 * by itself or relayed. While it has none, decides whether it takes another
 * parent, and whether it queries peers for one.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import {FOLLOWING_SEARCH_ROUNDS, LOSS_REPORT_DELAY_MS} from './constants.js';
import type {Freshness} from './freshness.js';
import type {ParentSearch} from './parent_search.js';
import type {PropagationBudget} from './propagation_budget.js';
import type {ReaderRole} from './reader_role.js';
import type {Parent, TreePosition} from './tree_position.js';

export interface SourceTrackerParts {
  readonly freshness: Freshness;
  readonly budget: PropagationBudget;
  readonly position: TreePosition;
  readonly search: ParentSearch;
  readonly readerRole: ReaderRole;
  readonly clock: Clock;
}

export class SourceTracker {
  private lostAt: Milliseconds | undefined;

  constructor(private readonly parts: SourceTrackerParts) {
    this.lostAt = parts.clock.now();
  }

  get isPresent(): boolean {
    return this.lostAt === undefined;
  }

  /** Whether it has been lost for long enough to tell followers. */
  get isLossConfirmed(): boolean {
    const {lostAt = Infinity} = this;
    return this.parts.clock.now() - lostAt >= LOSS_REPORT_DELAY_MS;
  }

  /** Whether a peer with fresh data would become the parent. */
  get acceptsParent(): boolean {
    if (this.isPresent) {
      return false;
    }
    const {position, readerRole} = this.parts;
    const {parent} = position;
    if (!parent) {
      return true;
    }
    return parent.isConfirmed && (readerRole.isReading || this.isSearchDue);
  }

  /**
   * Whether to query peers for fresh data. Most hosts wait for their parent
   * first: if it finds a source, they receive its data.
   */
  get queriesPeers(): boolean {
    const {position, search, readerRole} = this.parts;
    const {parent, depth} = position;
    if (!parent || (readerRole.isReading && depth <= 1)) {
      return true;
    }
    return this.isSearchDue && search.roundCount < FOLLOWING_SEARCH_ROUNDS;
  }

  gain(): void {
    this.lostAt = undefined;
  }

  /** @param plan schedules a read of the store in case no parent is found */
  lose(plan: () => void): void {
    if (this.isPresent) {
      this.lostAt = this.parts.clock.now();
      this.parts.search.restart();
      plan();
    }
  }

  /** The source is lost with the parent, or the parent had lost it before. */
  loseParent(parent: Parent): void {
    const {readerRole} = this.parts;
    if (this.isPresent) {
      this.lose(() => readerRole.planAfterParentLoss(parent));
    } else if (parent.isConfirmed) {
      readerRole.hastenAfterParentLoss(parent);
    }
  }

  /**
   * Stale data counts as a loss of the source, whatever the parent reports: it
   * may be waiting in vain for its own parent.
   */
  loseIfStale(): void {
    const {freshness, budget, readerRole} = this.parts;
    if (freshness.ageMs > budget.staleAfterMs) {
      this.lose(() => readerRole.planWhileFollowing());
    }
  }

  private get isSearchDue(): boolean {
    const {freshness, budget} = this.parts;
    return freshness.ageMs >= budget.searchAfterMs;
  }
}
