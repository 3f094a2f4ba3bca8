/**
 * Limits how many probes this host sends.
 *
 * The operators allow each upstream a number of probes a second from the whole
 * fleet. Each host spends an equal part of the sum over all upstreams, so that
 * hosts need no talk to stay within it, however busy they are.
 */

import type {Clock, Milliseconds} from '../../time/index.js';

/** Share that is spent; the rest covers hosts that count differently. */
const USABLE_SHARE = 0.8;
/** Probes saved for busy moments, as seconds of the rate. */
const BURST_SECONDS = 4;
const MS_PER_SECOND = 1_000;

export class ProbeBudget {
  private tokens: number | undefined;
  private refilledAt: Milliseconds;

  constructor(
    private readonly clock: Clock,
    /** Probes that one upstream may get a second. */
    private readonly perUpstreamPerSecond: number,
  ) {
    this.refilledAt = clock.now();
  }

  /** Takes up to so many probes; returns how many may be sent. */
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
