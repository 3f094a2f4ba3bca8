/** Caches whether this host may serve, since every request needs to know. */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {ServingStatus} from './serving_status.js';

/** The status depends on statements of peers, so it is cached no longer than this. */
const STATUS_TTL_MS: Milliseconds = 100;

export class ServingStatusCache {
  private latest: ServingStatus = {kind: 'stale', reason: 'incomplete'};
  private validUntil: Milliseconds = -Infinity;

  constructor(
    private readonly evaluate: () => ServingStatus,
    private readonly clock: Clock,
  ) {}

  /**
   * The status now. Re-evaluated by the request that reads it rather than by a timer:
   * after a pause of the process, requests run before timers do and would be served on
   * an expired lease.
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
