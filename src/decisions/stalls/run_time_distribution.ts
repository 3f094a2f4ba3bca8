/**
 * Learns how far run times lie from what was expected of them.
 *
 * A run that takes long may only have met an upstream that turned slow. How
 * often that happens is counted here, in ratios of the run time to the
 * expected one, so that short and long requests can be compared.
 */

/** Buckets a doubling of the ratio. */
const BUCKETS_PER_DOUBLING = 6;
const MIN_RATIO = 0.25;
/** Ratios from a quarter to 16. */
const BUCKET_COUNT = 6 * BUCKETS_PER_DOUBLING;
/** Runs after which older ones count half. */
const MAX_COUNTED_RUNS = 400;
/**
 * Runs assumed before any is known: most take what was expected, one in ten up
 * to 8 times as long, so that nothing is taken for lost early after a start.
 */
const PRIOR_RUNS: readonly (readonly [ratio: number, runs: number])[] = [
  [1, 9],
  [4, 0.7],
  [8, 0.3],
];

export class RunTimeDistribution {
  private readonly counts = new Array<number>(BUCKET_COUNT).fill(0);
  private total = 0;

  constructor() {
    PRIOR_RUNS.forEach(([ratio, runs]) => this.observe(ratio, runs));
  }

  /** @param weight how certain it is that a run took so long */
  observe(ratio: number, weight = 1): void {
    const bucket = bucketOf(ratio);
    this.counts[bucket] = (this.counts[bucket] ?? 0) + weight;
    this.total += weight;
    if (this.total > MAX_COUNTED_RUNS) {
      this.halve();
    }
  }

  /** Share of runs that take longer than this ratio. */
  shareAbove(ratio: number): number {
    let beyond = 0;
    for (let bucket = bucketOf(ratio) + 1; bucket < BUCKET_COUNT; bucket += 1) {
      beyond += this.counts[bucket] ?? 0;
    }
    return beyond / this.total;
  }

  /** Smallest ratio that at most this share of runs exceeds. */
  ratioExceededBy(share: number): number {
    let beyond = 0;
    let bucket = BUCKET_COUNT - 1;
    while (bucket > 0) {
      beyond += this.counts[bucket] ?? 0;
      if (beyond > share * this.total) {
        break;
      }
      bucket -= 1;
    }
    return upperBoundOf(bucket);
  }

  private halve(): void {
    this.counts.forEach((count, bucket) => {
      this.counts[bucket] = count / 2;
    });
    this.total /= 2;
  }
}

function bucketOf(ratio: number): number {
  const steps = BUCKETS_PER_DOUBLING * Math.log2(ratio / MIN_RATIO);
  return Math.max(0, Math.min(BUCKET_COUNT - 1, Math.floor(steps)));
}

function upperBoundOf(bucket: number): number {
  return MIN_RATIO * 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING);
}
