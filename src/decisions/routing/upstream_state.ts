/** What this host knows about one upstream. */

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
  /** Leaving, by whatever source said so: it gets no new request. */
  draining = false;
  private readonly recentRate: RateEstimate;
  private readonly usual: RateEstimate;
  private readonly othersEstimate = new OthersEstimate();
  /** When each own request in flight was sent, oldest first. */
  private readonly sentAt: Milliseconds[] = [];

  constructor(
    public spec: RoutedUpstream,
    now: Milliseconds,
    private readonly coldSince: Milliseconds = -Infinity,
  ) {
    this.recentRate = new RateEstimate(RECENT_RATE_WINDOW_MS, now);
    this.usual = new RateEstimate(LONG_TERM_RATE_WINDOW_MS, now);
  }

  /** When its last report was received. */
  get reportedAt(): Milliseconds {
    return this.othersEstimate.reportedAt;
  }

  /** Own requests in flight: exact. */
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
      this.usual.complete(now);
      this.health.succeed();
    } else if (result === 'error') {
      this.health.fail(now);
    }
  }

  /**
   * Takes in a report. Own requests still on their way when it was made are
   * not in it, so only those older than a round trip are subtracted.
   */
  report(report: LoadReport): void {
    const roundTrip = 2 * this.spec.distanceMs;
    const known = this.sentAt.filter(
      sent => sent <= report.receivedAt - roundTrip,
    ).length;
    this.othersEstimate.observe(report.inFlight - known, report.receivedAt);
  }

  /** Believed requests of other hosts there. */
  othersInFlight(now: Milliseconds): number {
    return this.othersEstimate.at(now);
  }

  /** Completions per busy slot and ms that it shows now. */
  rate(serviceRate: number, now: Milliseconds): number {
    const usual = this.usual.rate(serviceRate, LONG_TERM_RATE_PRIOR_MS, now);
    return this.recentRate.rate(usual, RECENT_RATE_PRIOR_MS, now);
  }

  /** Slots to use: fewer while cold. */
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
    this.usual.setBusy(busy, now);
  }
}
