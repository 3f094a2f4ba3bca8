/** Bounds the rate of uncoordinated events, so that few occur at once. */

/** Accepted probability of more events in a time span than the bound. */
const MAX_EXCESS_PROBABILITY = 1e-9;
/** Enough halvings to narrow the range to far less than a thousandth. */
const BISECTION_STEPS = 40;

/**
 * The largest mean number of independent events in a time span that exceeds a bound
 * with at most the accepted probability. The number of such events is Poisson
 * distributed, however many sources they have.
 */
export function maxPoissonMean(maxCount: number): number {
  let low = 0;
  let high = maxCount;
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const mean = (low + high) / 2;
    if (probabilityAbove(maxCount, mean) > MAX_EXCESS_PROBABILITY) {
      high = mean;
    } else {
      low = mean;
    }
  }
  return low;
}

/** Probability of more events than a bound, for a mean below it. */
function probabilityAbove(maxCount: number, mean: number): number {
  let term = Math.exp(-mean);
  for (let count = 1; count <= maxCount; count += 1) {
    term *= mean / count;
  }
  let sum = 0;
  // The terms decrease: each is the one before times mean / count, which is below 1.
  for (let count = maxCount + 1; term > Number.EPSILON * sum; count += 1) {
    term *= mean / count;
    sum += term;
  }
  return sum;
}
