/**
 * A token bucket that allows extra attempts as a ratio of first ones.
 *
 * Prevents retry storms: when every upstream fails, retries would multiply the load
 * just when capacity is lowest, and each of 18 levels of calls would multiply it again.
 * Extra attempts stop once the tokens are used up.
 */

/** Bounds the burst of extra attempts after a quiet period. */
const MAX_TOKENS = 10;

export class RatioTokenBucket {
  private tokens: number;

  constructor(
    /** Extra attempts per first attempt, e.g. 0.05. */
    private ratio: number,
  ) {
    this.tokens = ratio > 0 ? 1 : 0;
  }

  configure(ratio: number): void {
    this.ratio = ratio;
  }

  noteFirstAttempt(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + this.ratio);
  }

  /** Consumes a token; returns false if there is none. */
  trySpend(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
