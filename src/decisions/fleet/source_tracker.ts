/**
 * Whether a host's news come from the store now, by whatever way, and what follows
 * while they don't: whether another host would be followed, and whether others are
 * asked for one.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import {FOLLOWING_SEARCH_ROUNDS, LOSS_REPORT_DELAY_MS} from './constants.js';
import type {Freshness} from './freshness.js';
import type {PropagationBudget} from './propagation_budget.js';
import type {TreePosition} from './tree_position.js';
import type {ReaderRole} from './reader_role.js';
import type {ParentSearch} from './parent_search.js';

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

  /** Whether followers are to hear that there is none. */
  get isLossConfirmed(): boolean {
    const {lostAt = Infinity} = this;
    return this.parts.clock.now() - lostAt >= LOSS_REPORT_DELAY_MS;
  }

  /** Whether a host with fresh news would be followed. */
  get acceptsParent(): boolean {
    if (this.isPresent) {
      return false;
    }
    const {position, readerRole: duty} = this.parts;
    const {parent: followed} = position;
    if (!followed) {
      return true;
    }
    return followed.isConfirmed && (duty.isReading || this.isSearchDue);
  }

  /**
   * Whether others are asked for news. Most wait for a while with the host that they
   * follow: if it finds a source, they hear of it there.
   */
  get queriesPeers(): boolean {
    const {position, search, readerRole: duty} = this.parts;
    const {parent: followed, depth} = position;
    if (!followed || (duty.isReading && depth <= 1)) {
      return true;
    }
    return this.isSearchDue && search.roundCount < FOLLOWING_SEARCH_ROUNDS;
  }

  gain(): void {
    this.lostAt = undefined;
  }

  /** @param plan when to read the store, if nobody is found by then */
  lose(plan: () => void): void {
    if (this.isPresent) {
      this.lostAt = this.parts.clock.now();
      this.parts.search.restart();
      plan();
    }
  }

  /**
   * News that are overdue are a loss of the source, whatever it says of itself: it
   * may wait in vain for its own.
   */
  loseIfStale(): void {
    const {freshness, budget, readerRole: duty} = this.parts;
    if (freshness.ageMs > budget.staleAfterMs) {
      this.lose(() => duty.planWhileFollowing());
    }
  }

  private get isSearchDue(): boolean {
    const {freshness, budget} = this.parts;
    return freshness.ageMs >= budget.searchAfterMs;
  }
}
