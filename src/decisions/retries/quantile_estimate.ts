/** Follows a quantile of a changing stream in constant memory. */

/** Step of the estimate relative to its value. */
const RELATIVE_STEP = 0.02;

export class QuantileEstimate {
  constructor(
    private readonly quantile: number,
    private estimate: number,
  ) {}

  get value(): number {
    return this.estimate;
  }

  /**
   * Moves the estimate up when a sample is above it and down when below, in
   * proportions that balance at the quantile (stochastic approximation).
   */
  observe(sample: number): void {
    const step = RELATIVE_STEP * Math.max(this.estimate, 0.1);
    this.estimate +=
      sample > this.estimate
        ? step * this.quantile
        : -step * (1 - this.quantile);
  }
}
