/**
 * How long reads of the store wait for a change, and how soon the next one follows. The
 * slower its answers, the shorter: an answer is as old as it was on its way when it
 * comes, and the next one has to come before the news are overdue. Otherwise others
 * would take over from a reader that the store serves, and find it as slow.
 */

import type {Milliseconds} from '../../time/index.js';
import type {NewsBudget} from './news_budget.js';

const SHORTEST_WAIT_MS: Milliseconds = 50;
/** Part of a slow answer's time that is still reckoned with at the next one. */
const MEMORY = 0.5;

export class ReadPace {
  private answerMs: Milliseconds = 0;

  constructor(private readonly budget: NewsBudget) {}

  /** Pause before the next read; the time of a slow answer counts as one. */
  get pauseMs(): Milliseconds {
    return Math.max(0, this.budget.gatherMs - this.answerMs);
  }

  /** Longest wait of the next read for a change. */
  get waitMs(): Milliseconds {
    const {spreadMs, overdueMs, readWaitMs} = this.budget;
    const onItsWayMs = spreadMs + 2 * this.answerMs;
    const leftMs = overdueMs - onItsWayMs - this.pauseMs;
    return Math.max(SHORTEST_WAIT_MS, Math.min(readWaitMs, leftMs));
  }

  /** A read that was to wait so long has been answered after so long. */
  note(waitMs: Milliseconds, tookMs: Milliseconds): void {
    const answerMs = Math.max(0, tookMs - waitMs);
    this.answerMs = Math.max(answerMs, MEMORY * this.answerMs);
  }
}
