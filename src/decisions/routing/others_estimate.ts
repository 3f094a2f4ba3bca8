/**
 * How many requests of other entry hosts an upstream has.
 *
 * Every report is stale on arrival and grows staler: what it said counts for
 * a short window, then the estimate falls back to the usual number, and later
 * to none: a server once believed full gets no request, so it sends no report,
 * and would be believed full for ever. Requests
 * this host has sent since are counted exactly and apart, so that one low
 * report does not make it send a burst (herding).
 */

import type {Milliseconds} from '../../time/index.js';
import {
  REPORT_WINDOW_MS,
  MEAN_OTHERS_SAMPLE_WEIGHT,
  MEAN_OTHERS_WINDOW_MS,
} from './constants.js';

export class OthersEstimate {
  private usual = 0;
  private latest = 0;
  private latestAt: Milliseconds = -Infinity;

  get reportedAt(): Milliseconds {
    return this.latestAt;
  }

  /** Takes in a report from which own requests were subtracted. */
  observe(others: number, now: Milliseconds): void {
    this.latest = Math.max(0, others);
    this.latestAt = now;
    this.usual += MEAN_OTHERS_SAMPLE_WEIGHT * (this.latest - this.usual);
  }

  at(now: Milliseconds): number {
    const age = now - this.latestAt;
    const usual = this.usual * Math.exp(-age / MEAN_OTHERS_WINDOW_MS);
    return usual + (this.latest - usual) * Math.exp(-age / REPORT_WINDOW_MS);
  }
}
