/** Orders evaluated upstreams by how well they serve a request. */

import type {Milliseconds} from '../../time/index.js';

export interface EvaluatedUpstream {
  readonly id: string;
  /** Expected response time with all penalties applied. */
  readonly cost: Milliseconds;
  /** Whether it would answer within the target even if the run takes long. */
  readonly safelyInTime: boolean;
  /** Whether it is expected to answer within the target. */
  readonly inTime: boolean;
  /** Whether it is expected to answer before the caller gives up. */
  readonly beforeGiveUp: boolean;
  /** Whether it would answer within the target if it were idle. */
  readonly inTimeIfIdle: boolean;
  /** Whether the request would start at once. */
  readonly hasFreeSlot: boolean;
  readonly isNear: boolean;
}

export type Tier = (evaluated: EvaluatedUpstream) => boolean;

/** Tiers of acceptable upstreams while more can be probed. */
export const NEAR_TIERS: readonly Tier[] = [isSafeAndNear];
/** The same for searches that probe other data centres first. */
export const SAFE_TIERS: readonly Tier[] = [isSafe];
/** Further tiers once no more can be probed, the best first. */
export const IN_TIME_TIERS: readonly Tier[] = [isSafe, isInTime];
/** The same for requests that may be answered late. */
export const LATE_TIERS: readonly Tier[] = [...IN_TIME_TIERS, isBeforeGiveUp];

/** The cheapest upstream of the first tier that has one. */
export function bestOf(
  tiers: readonly Tier[],
  evaluated: readonly EvaluatedUpstream[],
): EvaluatedUpstream | undefined {
  for (const tier of tiers) {
    const best = cheapest(evaluated.filter(tier));
    if (best) {
      return best;
    }
  }
  return undefined;
}

function cheapest(
  evaluated: readonly EvaluatedUpstream[],
): EvaluatedUpstream | undefined {
  let best: EvaluatedUpstream | undefined;
  for (const one of evaluated) {
    if (!best || one.cost < best.cost) {
      best = one;
    }
  }
  return best;
}

function isSafeAndNear(one: EvaluatedUpstream): boolean {
  return isSafe(one) && one.isNear;
}

/** Whether a request would start at once and be answered within its target. */
export function isSafe({
  safelyInTime,
  hasFreeSlot,
}: EvaluatedUpstream): boolean {
  return safelyInTime && hasFreeSlot;
}

function isInTime({inTime, hasFreeSlot}: EvaluatedUpstream): boolean {
  return inTime && hasFreeSlot;
}

function isBeforeGiveUp(one: EvaluatedUpstream): boolean {
  return one.beforeGiveUp && one.hasFreeSlot;
}
