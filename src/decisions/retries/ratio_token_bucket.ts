/**
 * Allows extra attempts as a share of first ones.
 *
 * Answers the retry storm: when every upstream fails, retries would multiply
 * the load just when there is least capacity, and 18 calls deep each level
 * would multiply it again. Extra attempts stop once the share is spent.
 */

/** Extra attempts saved up at most, so that a quiet hour buys no storm. */
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

  /** Notes a first attempt. */
  noteFirstAttempt(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + this.ratio);
  }

  /** Spends one extra attempt, if there is one to spend. */
  trySpend(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
