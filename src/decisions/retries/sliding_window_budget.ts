/**
 * Limits repeats over a sliding window, without talk between hosts.
 *
 * Answers the retry storm of a whole fleet: each host may repeat a share of
 * the first sends that it made itself, and shares of the parts can't sum to
 * more than the same share of the whole, however many hosts there are and
 * whatever they believe of each other.
 */

import type {Clock, Milliseconds} from '../../time/index.js';

const PARTS_PER_WINDOW = 10;

interface Part {
  readonly from: Milliseconds;
  firstAttempts: number;
  retries: number;
}

export class SlidingWindowBudget {
  private parts: Part[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly windowMs: Milliseconds,
    /** Repeats per first send, e.g. 0.2. */
    private readonly ratio: number,
  ) {}

  noteFirstAttempt(): void {
    this.part().firstAttempts += 1;
  }

  /**
   * Takes one repeat if the window allows it.
   *
   * @param reserve repeats allowed beyond the ratio
   */
  trySpend(reserve: number): boolean {
    if (!this.allows(reserve)) {
      return false;
    }
    this.part().retries += 1;
    return true;
  }

  /** Whether one repeat could be taken now. */
  allows(reserve: number): boolean {
    this.part();
    let firsts = 0;
    let repeats = 0;
    for (const part of this.parts) {
      firsts += part.firstAttempts;
      repeats += part.retries;
    }
    return repeats + 1 <= this.ratio * firsts + reserve;
  }

  private part(): Part {
    const now = this.clock.now();
    const partMs = this.windowMs / PARTS_PER_WINDOW;
    // One part more than the window: whatever window is looked at from
    // outside, its repeats are counted against firsts of the same time.
    this.parts = this.parts.filter(({from}) => now - from <= this.windowMs);
    const last = this.parts.at(-1);
    if (last && now - last.from < partMs) {
      return last;
    }
    const part = {from: now, firsts: 0, repeats: 0};
    this.parts.push(part);
    return part;
  }
}
