/** Orders requests by urgency. */

import type {AdmissionRequest} from './types.js';

/** Priorities and ranks beyond this are equally urgent; bounds the size of messages. */
const MAX_RANK = 99;
const RANKS = MAX_RANK + 1;

/** The more urgent, the lower: downloads last, then by priority, then by rank. */
export function levelOf({
  isDownload,
  priority,
  rank,
}: Pick<AdmissionRequest, 'isDownload' | 'priority' | 'rank'>): number {
  return (
    (Number(isDownload) * RANKS + clampRank(priority)) * RANKS + clampRank(rank)
  );
}

function clampRank(rank: number): number {
  return Math.min(MAX_RANK, Math.max(0, Math.round(rank)));
}
