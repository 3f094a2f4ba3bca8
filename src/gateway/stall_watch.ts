/**
 * Monitors one attempt for a stall.
 *
 * Past its stall timeout an attempt is more likely lost than running. It is then
 * reported at each check, so that an idempotent request is hedged as soon as another
 * upstream has a free slot. Its upstream is probed as well: one that reports fewer
 * requests than this host alone has there has lost the oldest. That proof also ends a
 * non-idempotent request, so that its caller doesn't wait for the deadline.
 */

import type {ServiceProfile} from '../decisions/routes/index.js';
import type {ErrorBoundary} from '../lifecycle/index.js';
import type {Milliseconds} from '../time/index.js';
import type {Scheduler} from './scheduler.js';
import type {UpstreamAttempt} from './upstream_attempt.js';

const CHECK_INTERVAL_MS: Milliseconds = 100;
/**
 * Consecutive probes must show the loss before the request is given up. Its response
 * may be in transit during the first; a lost packet delays it by some 200 ms, which
 * the second and third wait out.
 */
const LOSS_REPORTS_TO_GIVE_UP = 3;

export interface StallWatchParts {
  readonly attempt: UpstreamAttempt;
  readonly scheduler: Scheduler;
  readonly service: ServiceProfile;
  readonly onStalled: () => void;
  readonly boundary: ErrorBoundary;
}

export class StallWatch {
  private timer: NodeJS.Timeout;
  private lossReports = 0;
  private stopped = false;

  constructor(private readonly parts: StallWatchParts) {
    this.timer = this.checkAfter(parts.attempt.stallTimeoutMs);
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private async check(): Promise<void> {
    const {attempt, scheduler, service, onStalled} = this.parts;
    onStalled();
    const isLost = await scheduler.isLost(attempt.inFlightRequest, service);
    if (this.stopped) {
      return;
    }
    this.lossReports = isLost ? this.lossReports + 1 : 0;
    if (this.lossReports >= LOSS_REPORTS_TO_GIVE_UP) {
      attempt.giveUp('the upstream no longer has the request');
      return;
    }
    this.timer = this.checkAfter(CHECK_INTERVAL_MS);
  }

  private checkAfter(ms: Milliseconds): NodeJS.Timeout {
    const {boundary} = this.parts;
    return setTimeout(
      boundary.wrap(() => this.check()),
      ms,
    );
  }
}
