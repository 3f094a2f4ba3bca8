/** Estimates the response time of a request at an upstream from its reported load. */

import type {Milliseconds} from '../../time/index.js';
import type {LoadReport} from './types.js';

/** Mean slowness, used for queued work: the report is outdated by its start. */
const MEAN_SLOWNESS = 1.75;
/** Share of occupied slots above which requests that start run slower. */
const BUSY_SHARE = 0.8;
/** Factor on the run time of a request that starts above that share. */
const BUSY_SLOWNESS = 1.5;

/**
 * Expected time from arrival to response.
 *
 * The slowness reported just before a request starts applies to its whole run, however
 * long it is.
 *
 * @param workMs run time of such a request on an idle upstream
 * @param queuedWorkMs the same for the requests queued before it
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

/** Whether one more request would start at once. */
export function hasFreeSlot({running, waiting, slots}: LoadReport): boolean {
  return waiting === 0 && running < slots;
}
