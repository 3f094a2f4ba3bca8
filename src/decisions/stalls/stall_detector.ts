/**
 * Tells when a send is more likely lost than still at work.
 *
 * Answers the upstream that takes a request and never answers: it ran and its
 * answer was lost, its queue was full and it says nothing, or it stalls. The
 * connection stays open, so only time tells. A caller whose lookup waits there
 * until its deadline gets nothing, while another upstream could have answered.
 *
 * How long to wait follows from two things that are learnt: how often sends of
 * a service are lost, and how many runs of the route take longer than the time
 * that has passed. While nothing is lost only the longest runs are doubted; in
 * a spell that loses one answer in five, a run a little longer than usual is.
 */

import type {Milliseconds} from '../../time/index.js';
import {RunTimeDistribution} from './run_time_distribution.js';
import type {PendingAttempt} from './types.js';

/** A send is given up on when it is as likely lost as not. */
const STALL_PROBABILITY = 0.5;
/** Weight of a new send in the share that is lost. */
const LOSS_WEIGHT = 0.03;
/** Share of sends taken to be lost when none has been for long. */
const MIN_LOSS_RATE = 0.001;
const MAX_LOSS_RATE = 0.5;
/** Nothing is doubted earlier: hosts and links pause for as long. */
const MIN_STALL_TIMEOUT_MS: Milliseconds = 50;
/** Where a run that was broken off would have ended, against when it was. */
const CANCELLED_RUN_RATIO = 2;

export class StallDetector {
  private readonly runTimes = new Map<string, RunTimeDistribution>();
  private readonly lossRates = new Map<string, number>();

  /** Time after which a send is more likely lost than at work. */
  stallTimeoutMs({service, route, expectedMs}: PendingAttempt): Milliseconds {
    const loss = this.lossRateOf(service);
    const share =
      ((loss / (1 - loss)) * (1 - STALL_PROBABILITY)) / STALL_PROBABILITY;
    const ratio = this.runTimesOf(route).ratioExceededBy(share);
    return Math.max(MIN_STALL_TIMEOUT_MS, expectedMs * ratio);
  }

  /** How likely a send is lost that hasn't been answered for so long. */
  lossProbability(send: PendingAttempt, elapsedMs: Milliseconds): number {
    const loss = this.lossRateOf(send.service);
    const ratio = elapsedMs / send.expectedMs;
    const slow = (1 - loss) * this.runTimesOf(send.route).shareAbove(ratio);
    return loss / (loss + slow);
  }

  answered(send: PendingAttempt, elapsedMs: Milliseconds): void {
    this.runTimesOf(send.route).observe(elapsedMs / send.expectedMs);
    this.noteLoss(send.service, 0);
  }

  /**
   * A send was ended without its answer. It counts as lost as far as it was
   * likely to be, and else as a run longer than that: if all counted as lost,
   * slow runs would make sends look lost earlier and earlier. One that ended
   * while it could well be at work, as its caller left, tells nothing.
   */
  unanswered(send: PendingAttempt, elapsedMs: Milliseconds): void {
    if (elapsedMs < this.stallTimeoutMs(send)) {
      return;
    }
    const chance = this.lossProbability(send, elapsedMs);
    const ratio = (CANCELLED_RUN_RATIO * elapsedMs) / send.expectedMs;
    this.runTimesOf(send.route).observe(ratio, 1 - chance);
    this.noteLoss(send.service, chance);
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
    const spread = new RunTimeDistribution();
    this.runTimes.set(route, spread);
    return spread;
  }
}
