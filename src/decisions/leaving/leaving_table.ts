/**
 * Upstream instances that announced in a response that they are leaving. An instance that
 * leaves never accepts requests again, so records are added and dropped but never updated.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {GossipTable} from '../gossip/index.js';
import type {LeavingRecord} from './types.js';

/** Long enough for all hosts to learn of it by gossip or from the store. */
const RECORD_TTL_MS: Milliseconds = 60_000;
/** Bounds memory regardless of what other hosts report. */
const MAX_RECORDS = 1_024;

export class LeavingTable implements GossipTable<LeavingRecord> {
  /** When each announcement was received, by upstream, in insertion order. */
  private readonly announcedAt = new Map<string, Milliseconds>();

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.announcedAt.size;
  }

  /** @returns whether the record is new */
  note(upstream: string): boolean {
    return this.add(upstream, this.clock.now());
  }

  keyOf({upstream}: LeavingRecord): string {
    return upstream;
  }

  recordOf(upstream: string): LeavingRecord | undefined {
    const at = this.announcedAt.get(upstream);
    return at === undefined
      ? undefined
      : {upstream, ageMs: this.clock.now() - at};
  }

  merge({upstream, ageMs}: LeavingRecord): boolean {
    return (
      ageMs < RECORD_TTL_MS && this.add(upstream, this.clock.now() - ageMs)
    );
  }

  newestKeys(most: number): readonly string[] {
    return [...this.announcedAt.keys()].slice(-most).reverse();
  }

  /** Drops expired records; call it periodically. */
  prune(): void {
    const since = this.clock.now() - RECORD_TTL_MS;
    for (const [upstream, at] of this.announcedAt) {
      if (at < since) {
        this.announcedAt.delete(upstream);
      }
    }
  }

  private add(upstream: string, at: Milliseconds): boolean {
    if (this.announcedAt.has(upstream)) {
      return false;
    }
    this.announcedAt.set(upstream, at);
    const [oldest] = this.announcedAt.keys();
    if (this.announcedAt.size > MAX_RECORDS && oldest !== undefined) {
      this.announcedAt.delete(oldest);
    }
    return true;
  }
}
