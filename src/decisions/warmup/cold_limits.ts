/**
 * Limits the requests that all hosts together send to a cold upstream.
 *
 * A cold upstream that gets more requests than it can handle crashes, and all requests
 * that run there are lost. Hosts can't count each other's sends in time, so each keeps
 * to a share of the limit. With few hosts, the shares are equal. With more hosts than
 * allowed requests, a share is less than one request: each host then gets permits for
 * single requests at random times, independent of other hosts and rare enough that the
 * sum stays within the limit. Neither needs synchronized clocks or a list of the other
 * hosts, only their number.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  RandomPermits,
  PERMIT_LIFETIME_MS,
  maxPoissonMean,
} from '../limits/index.js';
import type {UpstreamInService} from '../registry/index.js';
import type {ColdLimit} from './types.js';

const SECOND_MS: Milliseconds = 1_000;
/** Requests sent more than a second apart may arrive within one second. */
const TRANSIT_JITTER_MS: Milliseconds = 250;

export interface ColdLimitsParts {
  readonly clock: Clock;
  readonly random: Random;
  /** Number of hosts that may send; 0 until it is known. */
  readonly hosts: () => number;
  /** Undefined if cold upstreams of the service need no limit. */
  readonly limitOf: (service: string) => ColdLimit | undefined;
}

/** State of an upstream that is or was cold. */
interface ColdState {
  /** As reported by its probe answers, whatever its record says. */
  readonly coldUntil: Milliseconds;
  readonly sentAt: readonly Milliseconds[];
}

export class ColdLimits {
  private readonly statesById = new Map<string, ColdState>();
  /** By the maximum number of requests in a second. */
  private readonly poissonMeans = new Map<number, number>();
  private readonly permits: RandomPermits;

  constructor(private readonly parts: ColdLimitsParts) {
    this.permits = new RandomPermits(parts.clock, parts.random);
  }

  /** Records how much longer an upstream reports to be cold. */
  note(id: string, coldMs: Milliseconds): void {
    const state = this.statesById.get(id) ?? NEVER_COLD;
    const coldUntil = this.parts.clock.now() + coldMs;
    if (coldUntil > state.coldUntil) {
      this.statesById.set(id, {...state, coldUntil});
    }
  }

  isCold({id, warmAt}: UpstreamInService): boolean {
    const reportedUntil = this.statesById.get(id)?.coldUntil ?? -Infinity;
    return this.parts.clock.now() < Math.max(warmAt, reportedUntil);
  }

  /** Whether this host may send a request there now. */
  allows(upstream: UpstreamInService): boolean {
    const limit = this.limitOf(upstream);
    if (!limit) {
      return true;
    }
    const hosts = this.parts.hosts();
    if (hosts === 0) {
      return false;
    }
    const share = Math.floor(
      Math.min(limit.maxPerSecond, limit.sustainedPerSecond) / hosts,
    );
    return share >= 1
      ? this.recentSendCount(upstream.id) < share
      : this.permits.allows(
          upstream.id,
          this.meanPermitIntervalMs(limit, hosts),
        );
  }

  /** Counts a request that this host sends. */
  noteSend(upstream: UpstreamInService): void {
    const limit = this.limitOf(upstream);
    if (!limit) {
      return;
    }
    const {id} = upstream;
    const hosts = Math.max(1, this.parts.hosts());
    const state = this.statesById.get(id) ?? NEVER_COLD;
    const sentAt = [...this.recentSends(state), this.parts.clock.now()];
    this.permits.use(id, this.meanPermitIntervalMs(limit, hosts));
    this.statesById.set(id, {...state, sentAt});
  }

  /** Drops state that is no longer needed; call it periodically. */
  prune(): void {
    const now = this.parts.clock.now();
    this.permits.prune();
    for (const [id, {coldUntil, sentAt}] of this.statesById) {
      const last = Math.max(coldUntil, ...sentAt);
      if (now - last > SECOND_MS + TRANSIT_JITTER_MS) {
        this.statesById.delete(id);
      }
    }
  }

  /** Whether cold upstreams of a service have a limit. */
  isLimited(service: string): boolean {
    return this.parts.limitOf(service) !== undefined;
  }

  /** Limit of all hosts' requests there at the moment; undefined for none. */
  private limitOf(upstream: UpstreamInService): ColdLimit | undefined {
    return this.isCold(upstream)
      ? this.parts.limitOf(upstream.service)
      : undefined;
  }

  private recentSendCount(id: string): number {
    return this.recentSends(this.statesById.get(id) ?? NEVER_COLD).length;
  }

  private recentSends({sentAt}: ColdState): readonly Milliseconds[] {
    const since = this.parts.clock.now() - SECOND_MS - TRANSIT_JITTER_MS;
    return sentAt.filter(at => at > since);
  }

  /** Mean time between two permits of one host. */
  private meanPermitIntervalMs(
    {maxPerSecond, sustainedPerSecond}: ColdLimit,
    hosts: number,
  ): Milliseconds {
    // Permits of one second and unused earlier ones may be used together.
    const overlap =
      (SECOND_MS + PERMIT_LIFETIME_MS + TRANSIT_JITTER_MS) / SECOND_MS;
    const perSecond = Math.min(
      sustainedPerSecond,
      this.poissonMeanOf(maxPerSecond) / overlap,
    );
    return (hosts * SECOND_MS) / perSecond;
  }

  private poissonMeanOf(maxPerSecond: number): number {
    const known = this.poissonMeans.get(maxPerSecond);
    const mean = known ?? maxPoissonMean(maxPerSecond);
    this.poissonMeans.set(maxPerSecond, mean);
    return mean;
  }
}

const NEVER_COLD: ColdState = {
  coldUntil: -Infinity,
  sentAt: [],
};
