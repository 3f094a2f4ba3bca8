/**
 * Watches one send for silence.
 *
 * A send that is more likely lost than at work is said to be doubtful, again
 * and again, so that a lookup can be sent to another upstream as soon as one
 * has room. And its upstream is asked: one that tells of less work than this
 * host alone has there has lost the oldest of it. That is proof, also for an
 * order, whose caller needn't wait any longer.
 */

import type {ServiceProfile} from '../decisions/routes/index.js';
import type {Milliseconds} from '../time/index.js';
import type {Scheduler} from './scheduler.js';
import type {UpstreamAttempt} from './upstream_attempt.js';

/** Time between two looks at a send in doubt. */
const CHECK_INTERVAL_MS: Milliseconds = 100;
/**
 * Reports in a row that lack the send before it counts as lost. Its answer may
 * be on its way while the first is asked for; a lost packet delays it by some
 * 200 ms, which the second and third wait out.
 */
const LOSS_REPORTS_TO_GIVE_UP = 3;

export interface StallWatchParts {
  readonly attempt: UpstreamAttempt;
  readonly scheduler: Scheduler;
  readonly service: ServiceProfile;
  readonly onStalled: () => void;
}

export class StallWatch {
  private timer: NodeJS.Timeout;
  private lossReports = 0;
  private stopped = false;

  constructor(private readonly parts: StallWatchParts) {
    this.timer = setTimeout(
      () => void this.check(),
      parts.attempt.stallTimeoutMs,
    );
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private async check(): Promise<void> {
    const {attempt: send, scheduler, service, onStalled: onDoubt} = this.parts;
    onDoubt();
    const isLost = await scheduler.isLost(send.inFlightRequest, service);
    if (this.stopped) {
      return;
    }
    this.lossReports = isLost ? this.lossReports + 1 : 0;
    if (this.lossReports >= LOSS_REPORTS_TO_GIVE_UP) {
      send.giveUp('the upstream no longer has the request');
      return;
    }
    this.timer = setTimeout(() => void this.check(), CHECK_INTERVAL_MS);
  }
}
