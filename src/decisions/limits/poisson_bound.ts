/** How often events that nobody coordinates may happen, so that few come at once. */

/** Probability that a span of time sees more events than the bound. */
const MAX_EXCESS_PROBABILITY = 1e-9;
/** Bisections: halves the range to far less than one in a thousand. */
const BISECTION_STEPS = 40;

/**
 * The largest mean count of independent events in a span of time that exceeds a
 * bound as seldom as the risk allows. Counts of such events are Poisson distributed,
 * however many parties they come from.
 */
export function maxPoissonMean(most: number): number {
  let low = 0;
  let high = most;
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const mean = (low + high) / 2;
    if (probabilityAbove(most, mean) > MAX_EXCESS_PROBABILITY) {
      high = mean;
    } else {
      low = mean;
    }
  }
  return low;
}

/** Chance of more events than a bound, for a mean below it. */
function probabilityAbove(most: number, mean: number): number {
  let term = Math.exp(-mean);
  for (let count = 1; count <= most; count += 1) {
    term *= mean / count;
  }
  let sum = 0;
  // Each further term is smaller than the one before by mean / count, below 1.
  for (let count = most + 1; term > Number.EPSILON * sum; count += 1) {
    term *= mean / count;
    sum += term;
  }
  return sum;
}
