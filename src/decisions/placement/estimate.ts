/** Estimates how long a request would take at an upstream. */

import type {Milliseconds} from '../../time/index.js';
import type {LoadReport} from './types.js';

/**
 * How long a reported slowness lasts: neighbours' load changes several times
 * a second; on the users' servers each figure held for about 300 ms.
 */
const SLOWNESS_LASTS_MS: Milliseconds = 300;
/** Mean slowness: on the users' servers work is 4 times as long 1/4 of the time. */
const MEAN_SLOWNESS = 1.75;
/** Busy share of slots from which on upstreams slow down, and by how much. */
const BUSY_SHARE = 0.8;
const BUSY_SLOWNESS = 1.7;
/** Share of slots that are filled; above it an upstream gets slower. */
const USABLE_SHARE = 0.85;

/**
 * Expected time from arrival to answer.
 *
 * @param workMs time that such a request takes where nothing else runs
 * @param queuedWorkMs the same for the requests that wait before it
 */
export function estimateCompletion(
  report: LoadReport,
  workMs: Milliseconds,
  queuedWorkMs: Milliseconds,
): Milliseconds {
  const occupied = report.running + 1;
  const busy = occupied > BUSY_SHARE * report.slots ? BUSY_SLOWNESS : 1;
  const ownMs = stretch(workMs, report.slowness) * busy;
  if (report.running < report.slots) {
    return ownMs;
  }
  const turns = (report.waiting + 1) / report.slots;
  return ownMs + turns * stretch(queuedWorkMs, report.slowness) * busy;
}

/**
 * Whether an upstream can take one more without slowing down what it runs.
 * With six slots, six at work get less done together than four do: the last
 * ones cost more than they bring. One slot is always usable.
 */
export function hasRoom({running, waiting, slots}: LoadReport): boolean {
  const usable = Math.max(1, Math.floor(slots * USABLE_SHARE));
  return waiting === 0 && running < usable;
}

/** Work at a slowness that returns to the mean after a while. */
function stretch(workMs: Milliseconds, slowness: number): Milliseconds {
  const nowMs = Math.min(workMs * slowness, SLOWNESS_LASTS_MS);
  const left = workMs - nowMs / slowness;
  return nowMs + left * MEAN_SLOWNESS;
}
