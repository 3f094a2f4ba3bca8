/**
 * Whether a host's news come from the store now, by whatever way, and what follows
 * while they don't: whether another host would be followed, and whether others are
 * asked for one.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import {ATTACHED_ROUNDS, LOSS_GRACE_MS} from './constants.js';
import type {Freshness} from './freshness.js';
import type {NewsBudget} from './news_budget.js';
import type {Position} from './position.js';
import type {ReadingDuty} from './reading_duty.js';
import type {SourceSearch} from './source_search.js';

export interface NewsSourceParts {
  readonly freshness: Freshness;
  readonly budget: NewsBudget;
  readonly position: Position;
  readonly search: SourceSearch;
  readonly duty: ReadingDuty;
  readonly clock: Clock;
}

export class NewsSource {
  private lostAt: Milliseconds | undefined;

  constructor(private readonly parts: NewsSourceParts) {
    this.lostAt = parts.clock.now();
  }

  get isPresent(): boolean {
    return this.lostAt === undefined;
  }

  /** Whether followers are to hear that there is none. */
  get isLossLasting(): boolean {
    const {lostAt = Infinity} = this;
    return this.parts.clock.now() - lostAt >= LOSS_GRACE_MS;
  }

  /** Whether a host with fresh news would be followed. */
  get isSought(): boolean {
    if (this.isPresent) {
      return false;
    }
    const {position, duty} = this.parts;
    const {followed} = position;
    if (!followed) {
      return true;
    }
    return followed.proved && (duty.isReading || this.mayAskOthers);
  }

  /**
   * Whether others are asked for news. Most wait for a while with the host that they
   * follow: if it finds a source, they hear of it there.
   */
  get isAsked(): boolean {
    const {position, search, duty} = this.parts;
    const {followed, depth} = position;
    if (!followed || (duty.isReading && depth <= 1)) {
      return true;
    }
    return this.mayAskOthers && search.roundCount < ATTACHED_ROUNDS;
  }

  gain(): void {
    this.lostAt = undefined;
  }

  /** @param plan when to read the store, if nobody is found by then */
  lose(plan: () => void): void {
    if (this.isPresent) {
      this.lostAt = this.parts.clock.now();
      this.parts.search.begin();
      plan();
    }
  }

  /**
   * News that are overdue are a loss of the source, whatever it says of itself: it
   * may wait in vain for its own.
   */
  doubtIfOverdue(): void {
    const {freshness, budget, duty} = this.parts;
    if (freshness.ageMs > budget.overdueMs) {
      this.lose(() => duty.planWhileAttached());
    }
  }

  private get mayAskOthers(): boolean {
    const {freshness, budget} = this.parts;
    return freshness.ageMs >= budget.askOthersMs;
  }
}
