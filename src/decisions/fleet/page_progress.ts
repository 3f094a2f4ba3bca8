/**
 * How far a page of a topic's log takes its reader. An answer proves only that the
 * store is reachable: that nothing newer is there is proven by the end that it states.
 */

import type {LogPosition} from '../registry/index.js';

export type PageProgress =
  /** Everything up to the store's answer is known. */
  | 'caught-up'
  /** More records follow. */
  | 'behind'
  /** More records follow, and the page lacks the next one. */
  | 'stuck'
  /** The log ends before the position that was read from. */
  | 'past-end'
  /** The records at that position have been deleted. */
  | 'trimmed';

/**
 * @param from position that was read from
 * @param next position after the last record of the page
 * @param end where the log ended; undefined if the page doesn't state it
 */
export function pageProgress(
  from: LogPosition,
  next: LogPosition,
  end: LogPosition | undefined,
): PageProgress {
  if (end !== undefined && end < from) {
    return 'past-end';
  }
  if (end !== undefined && end <= next) {
    return 'caught-up';
  }
  return next > from ? 'behind' : 'stuck';
}

const NEEDS_SNAPSHOT: Readonly<Record<PageProgress, boolean>> = {
  'caught-up': false,
  behind: false,
  stuck: true,
  'past-end': true,
  trimmed: true,
};

/** Whether the log can't be read on from there, so that a snapshot has to be read. */
export function needsSnapshot(progress: PageProgress): boolean {
  return NEEDS_SNAPSHOT[progress];
}
