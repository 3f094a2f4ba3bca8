/**
 * Determines when an attempt is more likely lost than still running.
 *
 * An upstream may accept a request and never respond: its response was lost, its queue
 * was full and it reports no error, or it hangs. The connection stays open, so only the
 * elapsed time can show it. Without detection an idempotent request would wait there
 * until its deadline, while another upstream could have answered.
 *
 * The timeout follows from two learned values: how often attempts of a service are
 * lost, and how many runs of the route take longer than the elapsed time. While nothing
 * is lost, only the longest runs exceed it; while one response in five is lost, a run a
 * little longer than usual does.
 */

import type {Milliseconds} from '../../time/index.js';
import {RunTimeDistribution} from './run_time_distribution.js';
import type {PendingAttempt} from './types.js';

/** Probability of a loss from which an attempt counts as stalled. */
const STALL_PROBABILITY = 0.5;
/** Weight of a new attempt in the moving average of the loss rate. */
const LOSS_WEIGHT = 0.03;
/** Assumed loss rate if no attempt was lost for long. */
const MIN_LOSS_RATE = 0.001;
const MAX_LOSS_RATE = 0.5;
/** Hosts and links may pause for this long. */
const MIN_STALL_TIMEOUT_MS: Milliseconds = 50;
/** Assumed full duration of a cancelled run, relative to when it was cancelled. */
const CANCELLED_RUN_RATIO = 2;

export class StallDetector {
  private readonly runTimes = new Map<string, RunTimeDistribution>();
  private readonly lossRates = new Map<string, number>();

  /** Time after which an attempt is more likely lost than still running. */
  stallTimeoutMs({service, route, expectedMs}: PendingAttempt): Milliseconds {
    const lossRate = this.lossRateOf(service);
    const share =
      ((lossRate / (1 - lossRate)) * (1 - STALL_PROBABILITY)) /
      STALL_PROBABILITY;
    const ratio = this.runTimesOf(route).ratioExceededBy(share);
    return Math.max(MIN_STALL_TIMEOUT_MS, expectedMs * ratio);
  }

  /** Probability that an attempt without a response for this time is lost. */
  lossProbability(attempt: PendingAttempt, elapsedMs: Milliseconds): number {
    const lossRate = this.lossRateOf(attempt.service);
    const ratio = elapsedMs / attempt.expectedMs;
    const slow =
      (1 - lossRate) * this.runTimesOf(attempt.route).shareAbove(ratio);
    return lossRate / (lossRate + slow);
  }

  answered(attempt: PendingAttempt, elapsedMs: Milliseconds): void {
    this.runTimesOf(attempt.route).observe(elapsedMs / attempt.expectedMs);
    this.noteLoss(attempt.service, 0);
  }

  /**
   * Records an attempt that ended without a response. It counts partly as lost, by its
   * loss probability, and partly as a longer run: if all counted as lost, slow runs
   * would shorten the timeout more and more. An attempt that ended before the timeout,
   * e.g. because its caller left, is ignored.
   */
  unanswered(attempt: PendingAttempt, elapsedMs: Milliseconds): void {
    if (elapsedMs < this.stallTimeoutMs(attempt)) {
      return;
    }
    const probability = this.lossProbability(attempt, elapsedMs);
    const ratio = (CANCELLED_RUN_RATIO * elapsedMs) / attempt.expectedMs;
    this.runTimesOf(attempt.route).observe(ratio, 1 - probability);
    this.noteLoss(attempt.service, probability);
  }

  private lossRateOf(service: string): number {
    const known = this.lossRates.get(service) ?? MIN_LOSS_RATE;
    return Math.min(MAX_LOSS_RATE, Math.max(MIN_LOSS_RATE, known));
  }

  private noteLoss(service: string, loss: number): void {
    const before = this.lossRates.get(service) ?? MIN_LOSS_RATE;
    this.lossRates.set(service, before + LOSS_WEIGHT * (loss - before));
  }

  private runTimesOf(route: string): RunTimeDistribution {
    const known = this.runTimes.get(route);
    if (known) {
      return known;
    }
    const distribution = new RunTimeDistribution();
    this.runTimes.set(route, distribution);
    return distribution;
  }
}
