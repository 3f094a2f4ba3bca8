/**
 * Token bucket for the probes that this host sends.
 *
 * Operators limit the probes a second that each upstream gets from the whole fleet. Each
 * host gets an equal share of the sum over all upstreams, so the limit holds without
 * coordination, whatever each host's load.
 */

import type {Clock, Milliseconds} from '../../time/index.js';

/** The rest covers hosts that know a different number of hosts or upstreams. */
const USABLE_SHARE = 0.8;
/** Capacity of the bucket, as seconds of the rate. */
const BURST_SECONDS = 4;
const MS_PER_SECOND = 1_000;

export class ProbeBudget {
  private tokens: number | undefined;
  private refilledAt: Milliseconds;

  constructor(
    private readonly clock: Clock,
    /** Probes a second that one upstream may get. */
    private readonly perUpstreamPerSecond: number,
  ) {
    this.refilledAt = clock.now();
  }

  /** @returns how many of the wanted probes may be sent */
  take(wanted: number, upstreams: number, hosts: number): number {
    const perSecond =
      (this.perUpstreamPerSecond * USABLE_SHARE * upstreams) /
      Math.max(1, hosts);
    const capacity = perSecond * BURST_SECONDS;
    const now = this.clock.now();
    const refill = ((now - this.refilledAt) / MS_PER_SECOND) * perSecond;
    this.refilledAt = now;
    this.tokens = Math.min(capacity, (this.tokens ?? capacity) + refill);
    const granted = Math.min(wanted, Math.floor(this.tokens));
    this.tokens -= granted;
    return granted;
  }
}
