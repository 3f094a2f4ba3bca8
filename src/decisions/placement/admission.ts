/** Decides by cold limits, rate limits and backoffs whether this host may send to an upstream. */

import type {Milliseconds} from '../../time/index.js';
import type {Backoff, Backoffs} from '../backoff/index.js';
import type {LimitRecord, RateLimits} from '../rate_limits/index.js';
import type {UpstreamInService} from '../registry/index.js';
import type {ColdLimits} from '../warmup/index.js';
import type {PlacementRequest} from './types.js';

export interface AdmissionParts {
  readonly cold: ColdLimits;
  readonly rateLimits: RateLimits;
  readonly backoffs: Backoffs;
}

/** Rate limits and backoffs that keep this host from sending to upstreams. */
export interface SendBlockers {
  readonly limits: readonly LimitRecord[];
  readonly backoffs: readonly Backoff[];
}

export class Admission {
  constructor(private readonly parts: AdmissionParts) {}

  allows(upstream: UpstreamInService, {tried}: PlacementRequest): boolean {
    const {cold, rateLimits, backoffs} = this.parts;
    return (
      backoffs.allows(upstream.id) &&
      (tried.size === 0 || !backoffs.needsTrial(upstream.id)) &&
      cold.allows(upstream) &&
      rateLimits.allows(upstream)
    );
  }

  noteSend(upstream: UpstreamInService): void {
    const {cold, rateLimits, backoffs} = this.parts;
    cold.noteSend(upstream);
    rateLimits.noteSend(upstream);
    backoffs.noteSend(upstream.id);
  }

  /** Time until rate limits and backoffs allow a request to one of these upstreams. */
  waitMs(
    upstreams: readonly UpstreamInService[],
    {tried}: PlacementRequest,
  ): Milliseconds {
    const {rateLimits, backoffs} = this.parts;
    return upstreams
      .filter(({id}) => !tried.has(id))
      .map(one => Math.max(rateLimits.waitMs(one), backoffs.waitMs(one.id)))
      .reduce((least, waitMs) => Math.min(least, waitMs), Infinity);
  }

  /** @param maxPerKind maximum number of rate limits, and of backoffs */
  blockers(
    upstreams: readonly UpstreamInService[],
    maxPerKind: number,
  ): SendBlockers {
    const {rateLimits, backoffs} = this.parts;
    const ids = upstreams.map(({id}) => id);
    return {
      limits: rateLimits.blockingLimits(upstreams).slice(0, maxPerKind),
      backoffs: backoffs.blocking(ids).slice(0, maxPerKind),
    };
  }

  /** Drops state that is no longer needed; call it periodically. */
  prune(isInService: (id: string) => boolean): void {
    const {cold, rateLimits, backoffs} = this.parts;
    cold.prune();
    rateLimits.prune(isInService);
    backoffs.prune(isInService);
  }
}
