/**
 * Keeps the requests of all hosts to an upstream within the rate limit that it
 * announces.
 *
 * An overloaded upstream announces how many requests per second it accepts from all
 * hosts together. Hosts can't count each other's requests in time, so each one only
 * limits its own, to a share that keeps the sum within the limit. A few hosts of the
 * upstream's data centre share the limit equally and send at even intervals with a
 * small burst tolerance, so that even a limit of one or two requests per second is
 * used almost fully. Where a data centre has more hosts than each of them knows, all
 * of them send at random moments, which uses less of a small limit. All other hosts
 * only send requests that check whether a stale limit still applies.
 */

import type {Clock, Milliseconds, Random} from '../../time/index.js';
import {
  RandomPermits,
  PERMIT_LIFETIME_MS,
  maxPoissonMean,
} from '../limits/index.js';
import type {UpstreamInService} from '../registry/index.js';
import {
  BURST_REQUESTS,
  DATA_CENTRE_SKEW,
  MIN_BURST_TOLERANCE,
  OVERAGE,
  RECHECK_INTERVAL_MS,
  SLACK,
  STALE_LIMIT_MS,
  TRANSIT_MS,
  WINDOW_MS,
} from './constants.js';
import type {RateLimitTable} from './rate_limit_table.js';
import {Senders} from './senders.js';
import type {LimitRecord, NearHosts} from './types.js';

const SECOND_MS: Milliseconds = 1_000;
/** Bounds the cache, as upstreams may announce any number of different limits. */
const MAX_CACHED_MEANS = 64;

export interface RateLimitsParts {
  readonly table: RateLimitTable;
  readonly dataCentre: string;
  readonly nearHosts: () => NearHosts;
  readonly clock: Clock;
  readonly random: Random;
}

/** How this host may send to an upstream. */
type Allowance =
  /** At even intervals. */
  | {
      readonly kind: 'paced';
      readonly intervalMs: Milliseconds;
      /** Maximum time by which a send may be early after a late one. */
      readonly burstToleranceMs: Milliseconds;
    }
  /** At random moments. */
  | {readonly kind: 'chance'; readonly meanMs: Milliseconds}
  | {readonly kind: 'none'};

type PacedAllowance = Extract<Allowance, {kind: 'paced'}>;

/** Determines when a sender may send next: `fraction` of its interval after `since`. */
interface Pace {
  readonly since: Milliseconds;
  readonly fraction: number;
}

export class RateLimits {
  private readonly paces = new Map<string, Pace>();
  private readonly permits: RandomPermits;
  private readonly senders = new Senders();
  /** By the number of requests that an upstream tolerates in a window. */
  private readonly poissonMeans = new Map<number, number>();

  constructor(private readonly parts: RateLimitsParts) {
    this.permits = new RandomPermits(parts.clock, parts.random);
  }

  /** Whether this host may send a request to the upstream now. */
  allows(upstream: UpstreamInService): boolean {
    const allowance = this.allowanceOf(upstream);
    if (!allowance) {
      return true;
    }
    switch (allowance.kind) {
      case 'paced':
        return this.parts.clock.now() >= this.nextAt(upstream, allowance);
      case 'chance':
        return this.permits.allows(upstream.id, allowance.meanMs);
      case 'none':
        return false;
      default:
        return allowance satisfies never;
    }
  }

  /** Records that a request is sent to the upstream. */
  noteSend(upstream: UpstreamInService): void {
    const allowance = this.allowanceOf(upstream);
    if (!allowance) {
      return;
    }
    if (allowance.kind === 'paced') {
      this.advancePace(upstream, allowance);
    }
    if (allowance.kind === 'chance') {
      this.permits.use(upstream.id, allowance.meanMs);
    }
  }

  /** Time until this host may send to the upstream; Infinity if unknown. */
  waitMs(upstream: UpstreamInService): Milliseconds {
    const allowance = this.allowanceOf(upstream);
    if (!allowance || this.allows(upstream)) {
      return 0;
    }
    return allowance.kind === 'paced'
      ? this.nextAt(upstream, allowance) - this.parts.clock.now()
      : Infinity;
  }

  /** Limits due to which this host can't send to some of these upstreams now. */
  blockingLimits(
    upstreams: readonly UpstreamInService[],
  ): readonly LimitRecord[] {
    return upstreams
      .filter(one => !this.allows(one))
      .flatMap(({id}) => this.parts.table.limitOf(id) ?? []);
  }

  /** Drops state that is no longer needed; call it periodically. */
  prune(isInService: (id: string) => boolean): void {
    const {table: book} = this.parts;
    book.prune(isInService);
    const isLimited = (id: string): boolean => book.limitOf(id) !== undefined;
    this.permits.prune();
    this.senders.prune(isLimited);
    for (const id of this.paces.keys()) {
      if (!isLimited(id)) {
        this.paces.delete(id);
      }
    }
  }

  /** Undefined if the upstream announces no limit. */
  private allowanceOf(upstream: UpstreamInService): Allowance | undefined {
    const limit = this.parts.table.limitOf(upstream.id);
    if (limit?.perSecond === undefined) {
      return undefined;
    }
    const hosts = this.parts.nearHosts();
    const share = this.shareOf(upstream, limit.perSecond, hosts);
    const isStale = limit.ageMs > STALE_LIMIT_MS && hosts.fleetSize > 0;
    return share.kind === 'none' && isStale
      ? {kind: 'chance', meanMs: hosts.fleetSize * RECHECK_INTERVAL_MS}
      : share;
  }

  private shareOf(
    {id, dataCentre}: UpstreamInService,
    perSecond: number,
    {self, others, areAllKnown, count}: NearHosts,
  ): Allowance {
    const isNear = dataCentre === this.parts.dataCentre;
    if (!isNear || count === 0 || perSecond === 0) {
      return {kind: 'none'};
    }
    if (!areAllKnown) {
      return {
        kind: 'chance',
        meanMs: this.meanPermitIntervalMs(perSecond, count),
      };
    }
    const senders = this.senders.of(id, [self, ...others]);
    if (!senders.includes(self)) {
      return {kind: 'none'};
    }
    const {length} = senders;
    const intervalMs = (length * SECOND_MS) / perSecond;
    const tolerance = Math.max(
      MIN_BURST_TOLERANCE,
      BURST_REQUESTS / length - 1,
    );
    const burstToleranceMs = tolerance * intervalMs;
    return {kind: 'paced', intervalMs, burstToleranceMs};
  }

  /** Schedules the next send by the generic cell rate algorithm (GCRA). */
  private advancePace(
    upstream: UpstreamInService,
    allowance: PacedAllowance,
  ): void {
    const earliest = this.parts.clock.now() - allowance.burstToleranceMs;
    const since = Math.max(this.nextAt(upstream, allowance), earliest);
    this.paces.set(upstream.id, {since, fraction: 1});
  }

  private nextAt(
    {id}: UpstreamInService,
    {intervalMs}: PacedAllowance,
  ): Milliseconds {
    const {since, fraction} = this.paceOf(id);
    return since + fraction * intervalMs;
  }

  /** Starts at a random fraction, so that hosts don't start in step with each other. */
  private paceOf(id: string): Pace {
    const known = this.paces.get(id);
    if (known) {
      return known;
    }
    const {clock, random} = this.parts;
    const pace = {since: clock.now(), fraction: random()};
    this.paces.set(id, pace);
    return pace;
  }

  /** Mean time between two permits of one host. */
  private meanPermitIntervalMs(perSecond: number, hosts: number): Milliseconds {
    const inWindow = (OVERAGE * perSecond * WINDOW_MS) / SECOND_MS;
    const most = Math.floor(inWindow + SLACK);
    // Unexpired permits from before the window may be used within it.
    const spanMs = WINDOW_MS + PERMIT_LIFETIME_MS + TRANSIT_MS;
    const byChance = (this.poissonMeanOf(most) * SECOND_MS) / spanMs;
    const rate = Math.min(perSecond, byChance);
    return (DATA_CENTRE_SKEW * hosts * SECOND_MS) / rate;
  }

  private poissonMeanOf(most: number): number {
    const known = this.poissonMeans.get(most);
    if (known !== undefined) {
      return known;
    }
    if (this.poissonMeans.size >= MAX_CACHED_MEANS) {
      this.poissonMeans.clear();
    }
    const rate = maxPoissonMean(most);
    this.poissonMeans.set(most, rate);
    return rate;
  }
}
