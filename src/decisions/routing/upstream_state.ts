/** State of one upstream as this host sees it. */

import type {Milliseconds} from '../../time/index.js';
import {
  COLD_RAMP_MS,
  COLD_START_SHARE,
  RECENT_RATE_PRIOR_MS,
  RECENT_RATE_WINDOW_MS,
  LONG_TERM_RATE_PRIOR_MS,
  LONG_TERM_RATE_WINDOW_MS,
} from './constants.js';
import {Health} from './health.js';
import {OthersEstimate} from './others_estimate.js';
import {RateEstimate} from './rate_estimate.js';
import type {AttemptResult, LoadReport, RoutedUpstream} from './types.js';

export class UpstreamState {
  readonly health = new Health();
  /** Whether it is leaving, by any source; a draining upstream gets no new requests. */
  draining = false;
  private readonly recentRate: RateEstimate;
  private readonly longTermRate: RateEstimate;
  private readonly othersEstimate = new OthersEstimate();
  /** Send times of this host's requests in flight, oldest first. */
  private readonly sentAt: Milliseconds[] = [];

  constructor(
    public spec: RoutedUpstream,
    now: Milliseconds,
    private readonly coldSince: Milliseconds = -Infinity,
  ) {
    this.recentRate = new RateEstimate(RECENT_RATE_WINDOW_MS, now);
    this.longTermRate = new RateEstimate(LONG_TERM_RATE_WINDOW_MS, now);
  }

  get reportedAt(): Milliseconds {
    return this.othersEstimate.reportedAt;
  }

  /** Number of this host's requests in flight. */
  get inFlight(): number {
    return this.sentAt.length;
  }

  send(now: Milliseconds): void {
    this.sentAt.push(now);
    this.noteBusy(now);
  }

  end(sentAt: Milliseconds, result: AttemptResult, now: Milliseconds): void {
    const index = this.sentAt.indexOf(sentAt);
    if (index >= 0) {
      this.sentAt.splice(index, 1);
    }
    this.noteBusy(now);
    if (result === 'answered') {
      this.recentRate.complete(now);
      this.longTermRate.complete(now);
      this.health.succeed();
    } else if (result === 'error') {
      this.health.fail(now);
    }
  }

  /**
   * Applies a report. It doesn't include this host's requests that were in transit when
   * it was made, so only those older than a round trip are subtracted.
   */
  report(report: LoadReport): void {
    const roundTrip = 2 * this.spec.distanceMs;
    const known = this.sentAt.filter(
      sent => sent <= report.receivedAt - roundTrip,
    ).length;
    this.othersEstimate.observe(report.inFlight - known, report.receivedAt);
  }

  /** Estimated number of other hosts' requests there. */
  othersInFlight(now: Milliseconds): number {
    return this.othersEstimate.at(now);
  }

  /** Recent completions per busy slot and ms. */
  rate(serviceRate: number, now: Milliseconds): number {
    const longTerm = this.longTermRate.rate(
      serviceRate,
      LONG_TERM_RATE_PRIOR_MS,
      now,
    );
    return this.recentRate.rate(longTerm, RECENT_RATE_PRIOR_MS, now);
  }

  /** Slots to use, fewer during the slow start. */
  usableSlots(now: Milliseconds): number {
    const warm = (now - this.coldSince) / COLD_RAMP_MS;
    if (warm >= 1) {
      return this.spec.slots;
    }
    const share = COLD_START_SHARE + (1 - COLD_START_SHARE) * warm;
    return Math.max(1, this.spec.slots * share);
  }

  private noteBusy(now: Milliseconds): void {
    const busy = Math.min(this.sentAt.length, this.spec.slots);
    this.recentRate.setBusy(busy, now);
    this.longTermRate.setBusy(busy, now);
  }
}
