/** Estimates how long a request would take at an upstream. */

import type {Milliseconds} from '../../time/index.js';
import type {LoadReport} from './types.js';

/** Mean slowness, for work that starts later, when the report no longer holds. */
const MEAN_SLOWNESS = 1.75;
/** Share of slots from which on work that starts is slower, and by how much. */
const BUSY_SHARE = 0.8;
const BUSY_SLOWNESS = 1.5;

/**
 * Expected time from arrival to answer.
 *
 * What an upstream reports as it is asked holds for the whole run, short or long.
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
  if (hasFreeSlot(report)) {
    return workMs * report.slowness * busy;
  }
  const turns = (report.waiting + 1) / report.slots;
  return MEAN_SLOWNESS * busy * (workMs + turns * queuedWorkMs);
}

/** Whether one more would start at once. */
export function hasFreeSlot({running, waiting, slots}: LoadReport): boolean {
  return waiting === 0 && running < slots;
}
