/**
 * Rate limits that upstreams announce in their responses to this host and others.
 * The latest response determines the limit, whichever host received it.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {GossipTable} from '../gossip/index.js';
import {AGE_TOLERANCE_MS, ENDED_LIMIT_MEMORY_MS} from './constants.js';
import type {LimitRecord} from './types.js';

interface KnownLimit {
  /** Undefined once the limit has ended. */
  readonly perSecond: number | undefined;
  /** When a host received the response that the limit is based on. */
  readonly at: Milliseconds;
}

export class RateLimitTable implements GossipTable<LimitRecord> {
  private readonly limits = new Map<string, KnownLimit>();

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.limits.size;
  }

  /** Number of upstreams that currently announce a limit. */
  get limitedCount(): number {
    return [...this.limits.values()].filter(
      ({perSecond}) => perSecond !== undefined,
    ).length;
  }

  /**
   * Records a limit that an upstream has announced to this host.
   *
   * @returns whether the limit has changed
   */
  noteLimit(id: string, perSecond: number): boolean {
    return this.update(id, {perSecond, at: this.clock.now()});
  }

  /**
   * Records a response without a limit, which ends a known limit. Responses may arrive
   * out of order, so one to a request that was sent before the limit was last announced
   * is ignored.
   *
   * @param sentAt when the request was sent
   * @returns whether the limit has changed
   */
  noteNoLimit(id: string, sentAt: Milliseconds): boolean {
    const known = this.limits.get(id);
    return (
      known?.perSecond !== undefined &&
      sentAt > known.at &&
      this.update(id, {perSecond: undefined, at: this.clock.now()})
    );
  }

  /** Undefined for an upstream that announces no limit. */
  limitOf(id: string): LimitRecord | undefined {
    const record = this.recordOf(id);
    return record?.perSecond === undefined ? undefined : record;
  }

  keyOf({upstream}: LimitRecord): string {
    return upstream;
  }

  recordOf(id: string): LimitRecord | undefined {
    const known = this.limits.get(id);
    return (
      known && {
        upstream: id,
        perSecond: known.perSecond,
        ageMs: this.clock.now() - known.at,
      }
    );
  }

  merge({upstream, perSecond, ageMs}: LimitRecord): boolean {
    const known = this.limits.get(upstream);
    const at = this.clock.now() - ageMs;
    const isEnded = perSecond === undefined;
    if (isEnded && (!known || ageMs > ENDED_LIMIT_MEMORY_MS)) {
      return false;
    }
    // Without the tolerance, each forwarding host would make the record younger.
    // Changes of the limit are exempt: one shortly after a report would be discarded.
    const toleranceMs = known?.perSecond === perSecond ? AGE_TOLERANCE_MS : 0;
    const isNewer = !known || at > known.at + toleranceMs;
    return isNewer && this.update(upstream, {perSecond, at});
  }

  newestKeys(most: number): readonly string[] {
    return [...this.limits]
      .sort(([, a], [, b]) => b.at - a.at)
      .slice(0, most)
      .map(([id]) => id);
  }

  /** Drops upstreams that are no longer in service, and limits that ended long ago. */
  prune(isInService: (id: string) => boolean): void {
    const since = this.clock.now() - ENDED_LIMIT_MEMORY_MS;
    for (const [id, {perSecond, at}] of this.limits) {
      const isExpired = perSecond === undefined && at < since;
      if (isExpired || !isInService(id)) {
        this.limits.delete(id);
      }
    }
  }

  /** @returns whether the limit has changed */
  private update(id: string, limit: KnownLimit): boolean {
    const known = this.limits.get(id);
    this.limits.set(id, limit);
    return known?.perSecond !== limit.perSecond || !known;
  }
}
