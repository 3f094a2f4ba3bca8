/** Divides what a customer's quota and its tolerance allow in any window. */

import type {Milliseconds} from '../../time/index.js';
import type {Quota} from '../customers/index.js';
import {MISCOUNT, PERMIT_LIFETIME_MS, RESERVE_PARTS} from './constants.js';
import type {BucketLimits} from './token_bucket.js';
import {MS_PER_SECOND} from './token_bucket.js';
import type {QuotaTolerance} from './types.js';

const MIN_SHARE_WITH_TOKEN = 0.5;

/** Requests in a window that the bound allows beyond the quota, for all hosts. */
export function toleranceOf(quota: Quota, tolerance: QuotaTolerance): number {
  const {ratePerSecond, burst} = quota;
  const {windowMs, overage, slack} = tolerance;
  const perWindow = (ratePerSecond * windowMs) / MS_PER_SECOND + burst;
  return overage * perWindow + slack;
}

/** Permits live shorter where the tolerance is small: at most half of it is for them. */
export function permitLifetimeMs({
  windowMs,
  overage,
}: QuotaTolerance): Milliseconds {
  return Math.min(PERMIT_LIFETIME_MS, (overage * windowMs) / 2);
}

/**
 * What each of `RESERVE_PARTS` parties may grant in a window beyond the bucket. Set
 * aside first: permits that were granted before a window and are used within it, what
 * the shares of parts of the fleet may add up to beyond one, and the tokens that
 * buckets hold at least, in either half of a fleet.
 */
export function reserveOf(quota: Quota, tolerance: QuotaTolerance): number {
  const {ratePerSecond, burst} = quota;
  const perWindow = (ratePerSecond * tolerance.windowMs) / MS_PER_SECOND;
  const inStock = (ratePerSecond * permitLifetimeMs(tolerance)) / MS_PER_SECOND;
  const miscounted = MISCOUNT * (perWindow + burst);
  const missingBurst = Math.max(0, 2 - burst);
  const used = inStock + miscounted + missingBurst;
  const free = toleranceOf(quota, tolerance) - used;
  return Math.max(0, free / RESERVE_PARTS);
}

/** The part of a quota that a part of the fleet may grant. */
export function bucketLimits(quota: Quota, share: number): BucketLimits {
  const capacity = quota.burst * share;
  return {
    perSecond: quota.ratePerSecond * share,
    // Less than one token would never be granted; smaller parts of a fleet go without.
    capacity: share >= MIN_SHARE_WITH_TOKEN ? Math.max(1, capacity) : capacity,
  };
}
