/** Answers, for every request, whether this host may serve. */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {ServingStatus} from './serving_status.js';

/** A verdict that may change by what peers say holds no longer than this. */
const STATUS_TTL_MS: Milliseconds = 100;

export class ServingStatusCache {
  private latest: ServingStatus = {kind: 'stale', reason: 'incomplete'};
  private validUntil: Milliseconds = -Infinity;

  constructor(
    private readonly evaluate: () => ServingStatus,
    private readonly clock: Clock,
  ) {}

  /**
   * The verdict now. It is judged again when its time is over, by the request
   * that asks, not by a timer: after a pause of the process requests run
   * before timers do, and would be served on a lapsed lease.
   */
  get current(): ServingStatus {
    const now = this.clock.now();
    if (now >= this.validUntil) {
      this.latest = this.evaluate();
      this.validUntil = now + STATUS_TTL_MS;
    }
    return this.latest;
  }
}
