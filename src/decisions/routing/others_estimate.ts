/**
 * Estimates how many requests of other entry hosts an upstream has.
 *
 * Every report is stale on arrival. It counts for a short window, then the estimate
 * decays to the mean number and later to zero: an upstream that is estimated to be full
 * gets no requests, so it sends no reports, and would be considered full forever.
 * Requests that this host sent are counted exactly and separately, so that one low
 * report doesn't cause a burst (herding).
 */

import type {Milliseconds} from '../../time/index.js';
import {
  REPORT_WINDOW_MS,
  MEAN_OTHERS_SAMPLE_WEIGHT,
  MEAN_OTHERS_WINDOW_MS,
} from './constants.js';

export class OthersEstimate {
  private mean = 0;
  private latest = 0;
  private latestAt: Milliseconds = -Infinity;

  get reportedAt(): Milliseconds {
    return this.latestAt;
  }

  /** @param others requests that a report lists, less those of this host */
  observe(others: number, now: Milliseconds): void {
    this.latest = Math.max(0, others);
    this.latestAt = now;
    this.mean += MEAN_OTHERS_SAMPLE_WEIGHT * (this.latest - this.mean);
  }

  at(now: Milliseconds): number {
    const age = now - this.latestAt;
    const mean = this.mean * Math.exp(-age / MEAN_OTHERS_WINDOW_MS);
    return mean + (this.latest - mean) * Math.exp(-age / REPORT_WINDOW_MS);
  }
}
