/**
 * Estimates how long ago a caller first sent a request, from the time that it has left.
 *
 * Callers state only the time left. First attempts of a route's requests mostly have the
 * same, and those that return after a refusal have less.
 */

import type {Clock, Milliseconds} from '../../time/index.js';

/** The longest time left of the last one or two of these periods is a first attempt's. */
const PERIOD_MS: Milliseconds = 30_000;

interface Longest {
  readonly periodEndsAt: Milliseconds;
  readonly currentMs: Milliseconds;
  readonly previousMs: Milliseconds;
}

export class ElapsedEstimate {
  private readonly longestByRoute = new Map<string, Longest>();

  constructor(private readonly clock: Clock) {}

  /** @param leftMs time until the caller gives up */
  note(route: string, leftMs: Milliseconds): void {
    const {periodEndsAt, currentMs, previousMs} = this.longestOf(route);
    this.longestByRoute.set(route, {
      periodEndsAt,
      currentMs: Math.max(currentMs, leftMs),
      previousMs,
    });
  }

  elapsedMs(route: string, leftMs: Milliseconds): Milliseconds {
    const {currentMs, previousMs} = this.longestOf(route);
    return Math.max(0, Math.max(currentMs, previousMs) - leftMs);
  }

  private longestOf(route: string): Longest {
    const now = this.clock.now();
    const known = this.longestByRoute.get(route);
    if (!known || now >= known.periodEndsAt + PERIOD_MS) {
      return {periodEndsAt: now + PERIOD_MS, currentMs: 0, previousMs: 0};
    }
    return now < known.periodEndsAt
      ? known
      : {
          periodEndsAt: known.periodEndsAt + PERIOD_MS,
          currentMs: 0,
          previousMs: known.currentMs,
        };
  }
}
