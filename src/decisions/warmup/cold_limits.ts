/**
 * Keeps what all hosts together send a cold upstream within what it bears.
 *
 * A cold upstream that gets more than it bears crashes, and takes down all that
 * runs on it. Hosts can't count each other's sends in time, so that each keeps to a
 * part that adds up by itself. Where hosts are few, each has an equal share of the
 * bound. Where there are more hosts than requests allowed, a share is less than one
 * request: each host then may send one at moments drawn by chance, independent of
 * all others and as seldom as keeps the sum of all within the bound. Neither needs
 * clocks that agree, nor to know who the others are, only how many.
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
/** Sends further apart than a second may arrive within one. */
const TRANSIT_JITTER_MS: Milliseconds = 250;

export interface ColdLimitsParts {
  readonly clock: Clock;
  readonly random: Random;
  /** Hosts that may send; 0 until they have been counted. */
  readonly hosts: () => number;
  /** Undefined where a service's upstreams bear anything while cold. */
  readonly limitOf: (service: string) => ColdLimit | undefined;
}

/** What this host knows of one upstream that is or was cold. */
interface ColdState {
  /** By its own word, whatever its record says. */
  readonly coldUntil: Milliseconds;
  readonly sentAt: readonly Milliseconds[];
}

export class ColdLimits {
  private readonly statesById = new Map<string, ColdState>();
  /** By the bound that they keep to. */
  private readonly poissonMeans = new Map<number, number>();
  private readonly permits: RandomPermits;

  constructor(private readonly parts: ColdLimitsParts) {
    this.permits = new RandomPermits(parts.clock, parts.random);
  }

  /** An upstream has told how much longer it is cold. */
  note(id: string, coldMs: Milliseconds): void {
    const warmup = this.statesById.get(id) ?? NEVER_COLD;
    const coldUntil = this.parts.clock.now() + coldMs;
    if (coldUntil > warmup.coldUntil) {
      this.statesById.set(id, {...warmup, coldUntil});
    }
  }

  isCold({id, warmAt}: UpstreamInService): boolean {
    const reportedUntil = this.statesById.get(id)?.coldUntil ?? -Infinity;
    return this.parts.clock.now() < Math.max(warmAt, reportedUntil);
  }

  /** Whether a request may be sent there now. */
  allows(upstream: UpstreamInService): boolean {
    const bound = this.limitOf(upstream);
    if (!bound) {
      return true;
    }
    const hosts = this.parts.hosts();
    if (hosts === 0) {
      return false;
    }
    const share = Math.floor(
      Math.min(bound.maxPerSecond, bound.sustainedPerSecond) / hosts,
    );
    return share >= 1
      ? this.recentSendCount(upstream.id) < share
      : this.permits.allows(
          upstream.id,
          this.meanPermitIntervalMs(bound, hosts),
        );
  }

  /** A request goes there. */
  noteSend(upstream: UpstreamInService): void {
    const bound = this.limitOf(upstream);
    if (!bound) {
      return;
    }
    const {id} = upstream;
    const hosts = Math.max(1, this.parts.hosts());
    const warmup = this.statesById.get(id) ?? NEVER_COLD;
    const sentAt = [...this.recentSends(warmup), this.parts.clock.now()];
    this.permits.use(id, this.meanPermitIntervalMs(bound, hosts));
    this.statesById.set(id, {...warmup, sentAt});
  }

  /** Drops what is of no use any more; call it now and then. */
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

  /** Whether upstreams of a service crash under too much while they are cold. */
  isLimited(service: string): boolean {
    return this.parts.limitOf(service) !== undefined;
  }

  /** What all hosts may send there; undefined for as much as they like. */
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

  /** Time between two permissions of one host, on average. */
  private meanPermitIntervalMs(
    {maxPerSecond: most, sustainedPerSecond: steady}: ColdLimit,
    hosts: number,
  ): Milliseconds {
    // Permissions of one second and those kept from before may be used together.
    const overlap =
      (SECOND_MS + PERMIT_LIFETIME_MS + TRANSIT_JITTER_MS) / SECOND_MS;
    const perSecond = Math.min(steady, this.poissonMeanOf(most) / overlap);
    return (hosts * SECOND_MS) / perSecond;
  }

  private poissonMeanOf(most: number): number {
    const known = this.poissonMeans.get(most);
    const rate = known ?? maxPoissonMean(most);
    this.poissonMeans.set(most, rate);
    return rate;
  }
}

const NEVER_COLD: ColdState = {
  coldUntil: -Infinity,
  sentAt: [],
};
