/** When to probe, and which upstream, within a right. */

import type {Milliseconds} from '../../time/index.js';
import type {UpstreamState} from '../routing/index.js';

/** Probes that may be saved up: no burst after a pause of the process. */
const MAX_SAVED = 1;

export class ProbeSchedule {
  private rate = 0;
  private usableUntil: Milliseconds = -Infinity;
  private saved = 0;
  private refilledAt: Milliseconds = 0;

  /**
   * @param rate probes a second
   * @param usableUntil when the right to them ends, on this host's clock
   */
  grant(rate: number, usableUntil: Milliseconds, now: Milliseconds): void {
    this.refill(now);
    this.rate = rate;
    this.usableUntil = usableUntil;
  }

  /** Time of the next probe, if there is a right to one. */
  wakeAt(now: Milliseconds): Milliseconds | undefined {
    if (this.rate <= 0 || now >= this.usableUntil) {
      return undefined;
    }
    this.refill(now);
    return now + ((MAX_SAVED - this.saved) / this.rate) * 1000;
  }

  /**
   * The upstream to probe now, if any: the one that has been silent longest.
   * The right is checked here, at the last moment, because the process may
   * have been paused past its end since the probe was planned.
   */
  next(
    upstreams: readonly UpstreamState[],
    now: Milliseconds,
  ): UpstreamState | undefined {
    this.refill(now);
    if (now >= this.usableUntil || this.saved < 1 - 1e-9) {
      return undefined;
    }
    this.saved -= 1;
    let oldest: UpstreamState | undefined;
    for (const upstream of upstreams) {
      if (upstream.reportedAt < (oldest?.reportedAt ?? Infinity)) {
        oldest = upstream;
      }
    }
    return oldest;
  }

  private refill(now: Milliseconds): void {
    const earned = ((now - this.refilledAt) * this.rate) / 1000;
    this.saved = Math.min(MAX_SAVED, this.saved + Math.max(0, earned));
    this.refilledAt = now;
  }
}
