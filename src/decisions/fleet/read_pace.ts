/**
 * How long reads of the store wait for a change, and how soon the next one
 * follows. The slower its answers, the shorter: an answer has aged by its
 * transit time when it arrives, and the next one has to arrive before the data
 * is stale. Otherwise other hosts would take over from a reader that the store
 * serves, and find it just as slow.
 */

import type {Milliseconds} from '../../time/index.js';
import type {PropagationBudget} from './propagation_budget.js';

const MIN_WAIT_MS: Milliseconds = 50;
/** Share of the previous latency that still counts at the next read. */
const LATENCY_DECAY = 0.5;

export class ReadPace {
  private latencyMs: Milliseconds = 0;

  constructor(private readonly budget: PropagationBudget) {}

  /**
   * Pause before the next read; the latency of a slow answer counts towards it.
   */
  get pauseMs(): Milliseconds {
    return Math.max(0, this.budget.batchPauseMs - this.latencyMs);
  }

  /** Longest wait of the next read for a change. */
  get waitMs(): Milliseconds {
    const {relayMs, staleAfterMs, readWaitMs} = this.budget;
    const transitMs = relayMs + 2 * this.latencyMs;
    const availableMs = staleAfterMs - transitMs - this.pauseMs;
    return Math.max(MIN_WAIT_MS, Math.min(readWaitMs, availableMs));
  }

  /**
   * @param waitMs how long the read was to wait for a change
   * @param tookMs time until its answer
   */
  note(waitMs: Milliseconds, tookMs: Milliseconds): void {
    const latencyMs = Math.max(0, tookMs - waitMs);
    this.latencyMs = Math.max(latencyMs, LATENCY_DECAY * this.latencyMs);
  }
}
