/**
 * Tells how old a request is for its caller, from the time that is left.
 *
 * A caller that was refused comes back, on another host and under another id,
 * with less time left than callers of the route usually have at first. Taken
 * for a fresh request, it gets a slot that a fresh one needs to be in time,
 * though it is late already.
 *
 * The usual time is one that many callers have at once: where they all wait
 * for different times nothing can be told, and nobody is taken for late.
 */

import type {Milliseconds} from '../../time/index.js';

/** Requests of a route that are remembered: some seconds of them. */
const MEMORY = 64;
/** Requests after which the usual time is looked for again. */
const REFRESH = 8;
/**
 * Share of requests that have the usual time. Callers come back twice at most,
 * so that a third of what arrives is fresh even if all are refused twice.
 */
const USUAL_SHARE = 0.25;
/** Times that differ by less are the same; networks take some of it. */
const SAME_SHARE = 0.03;
/** Younger ones may have been held up by a connection. */
const LEAST_AGE_MS: Milliseconds = 40;

interface RouteMemory {
  readonly times: readonly Milliseconds[];
  readonly seen: number;
  readonly usualMs: Milliseconds | undefined;
}

const NOTHING: RouteMemory = {times: [], seen: 0, usualMs: undefined};

export class UsualDeadlines {
  private readonly byRoute = new Map<string, RouteMemory>();

  /** Takes in what a caller has left; returns how long ago it first asked. */
  ageOf(route: string, timeLeftMs: Milliseconds): Milliseconds {
    const before = this.byRoute.get(route) ?? NOTHING;
    const times = [...before.times.slice(1 - MEMORY), timeLeftMs];
    const seen = before.seen + 1;
    const usualMs = seen % REFRESH === 0 ? usualOf(times) : before.usualMs;
    this.byRoute.set(route, {times, seen, usualMs});
    const ageMs = (usualMs ?? timeLeftMs) - timeLeftMs;
    return ageMs > LEAST_AGE_MS ? ageMs : 0;
  }
}

/** The longest time that a good share of callers have. */
function usualOf(times: readonly Milliseconds[]): Milliseconds | undefined {
  const sorted = [...times].sort((a, b) => b - a);
  const needed = Math.max(2, Math.ceil(USUAL_SHARE * sorted.length));
  return sorted.find((longest, index) => {
    const last = sorted[index + needed - 1];
    return last !== undefined && last >= longest * (1 - SAME_SHARE);
  });
}
