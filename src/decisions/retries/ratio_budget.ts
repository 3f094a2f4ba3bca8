/**
 * Allows extra attempts as a share of first ones.
 *
 * Answers the retry storm: when every upstream fails, retries would multiply
 * the load just when there is least capacity, and 18 calls deep each level
 * would multiply it again. Extra attempts stop once the share is spent.
 */

/** Extra attempts saved up at most, so that a quiet hour buys no storm. */
const MAX_SAVED = 10;

export class RatioBudget {
  private saved: number;

  constructor(
    /** Extra attempts per first attempt, e.g. 0.05. */
    private ratio: number,
  ) {
    this.saved = ratio > 0 ? 1 : 0;
  }

  configure(ratio: number): void {
    this.ratio = ratio;
  }

  /** Notes a first attempt. */
  earn(): void {
    this.saved = Math.min(MAX_SAVED, this.saved + this.ratio);
  }

  /** Spends one extra attempt, if there is one to spend. */
  spend(): boolean {
    if (this.saved < 1) {
      return false;
    }
    this.saved -= 1;
    return true;
  }
}
