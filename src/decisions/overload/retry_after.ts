/** Chooses the Retry-After of requests that are refused in an overload. */

import type {Milliseconds, Random} from '../../time/index.js';

/** Callers honour a Retry-After up to this share of their remaining time. */
const MAX_REMAINING_TIME_SHARE = 1 / 3;
/** Slots become free within this time at any load. */
const SHORTEST_MS: Milliseconds = 60;
/** An overload that has just begun is expected to last this long. */
const MIN_OVERLOAD_MS: Milliseconds = 800;
/** One that lasts longer may be permanent, so that waiting gains nothing. */
const MAX_OVERLOAD_MS: Milliseconds = 4_000;
/** From this share on, a request that returns in time is likely to be admitted. */
const LIKELY_SHARE = 0.5;
/** Part of the time over which requests that are refused together are spread. */
const SPREAD = 0.5;

export interface RefusedRequest {
  /** Share of such requests that is admitted. */
  readonly share: number;
  /** Time since the overload began. */
  readonly overloadMs: Milliseconds;
  /** Time within which it must be sent to be answered in time. */
  readonly slackMs: Milliseconds;
  /** Time until the caller gives up. */
  readonly leftMs: Milliseconds;
}

/**
 * An overload is expected to last as long again as it has lasted. A request of which a
 * larger share is admitted returns sooner, since waiting gains it less: its next attempt
 * is likely to be admitted, and to be in time.
 */
export function overloadRetryAfter(
  {share, overloadMs, slackMs, leftMs}: RefusedRequest,
  random: Random,
): Milliseconds {
  const remainingMs = Math.min(
    MAX_OVERLOAD_MS,
    Math.max(MIN_OVERLOAD_MS, overloadMs),
  );
  const wantedMs = SHORTEST_MS + (1 - share) ** 2 * remainingMs;
  const canBeInTime = share >= LIKELY_SHARE && slackMs > SHORTEST_MS;
  const longestMs = Math.min(
    Math.max(0, leftMs) * MAX_REMAINING_TIME_SHARE,
    canBeInTime ? slackMs : Infinity,
    wantedMs / (1 - SPREAD / 2),
  );
  return longestMs * (1 - SPREAD * random());
}
