/**
 * How long reads of the store wait for a change, and how soon the next one follows. The
 * slower its answers, the shorter: an answer is as old as it was on its way when it
 * comes, and the next one has to come before the news are overdue. Otherwise others
 * would take over from a reader that the store serves, and find it as slow.
 */

import type {Milliseconds} from '../../time/index.js';
import type {PropagationBudget} from './propagation_budget.js';

const MIN_WAIT_MS: Milliseconds = 50;
/** Part of a slow answer's time that is still reckoned with at the next one. */
const LATENCY_DECAY = 0.5;

export class ReadPace {
  private latencyMs: Milliseconds = 0;

  constructor(private readonly budget: PropagationBudget) {}

  /** Pause before the next read; the time of a slow answer counts as one. */
  get pauseMs(): Milliseconds {
    return Math.max(0, this.budget.batchPauseMs - this.latencyMs);
  }

  /** Longest wait of the next read for a change. */
  get waitMs(): Milliseconds {
    const {
      relayMs: spreadMs,
      staleAfterMs: overdueMs,
      readWaitMs,
    } = this.budget;
    const transitMs = spreadMs + 2 * this.latencyMs;
    const availableMs = overdueMs - transitMs - this.pauseMs;
    return Math.max(MIN_WAIT_MS, Math.min(readWaitMs, availableMs));
  }

  /** A read that was to wait so long has been answered after so long. */
  note(waitMs: Milliseconds, tookMs: Milliseconds): void {
    const latencyMs = Math.max(0, tookMs - waitMs);
    this.latencyMs = Math.max(latencyMs, LATENCY_DECAY * this.latencyMs);
  }
}
