/** The buckets of the customers that a grantor is in charge of, and those it handed over. */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {BucketLimits} from './token_bucket.js';
import {TokenBucket} from './token_bucket.js';

/** A handed-over bucket is remembered for this time, since its claim may be repeated. */
const HANDED_OVER_MEMORY_MS: Milliseconds = 10_000;

export interface Opened {
  readonly bucket: TokenBucket;
  /** The host that handed it over as it stopped; undefined otherwise. */
  readonly from: string | undefined;
  readonly at: Milliseconds;
}

export interface HandedOver {
  readonly to: string;
  /** Of the claim. */
  readonly id: number;
  readonly at: Milliseconds;
  readonly level: number;
}

export class BucketTable {
  private readonly buckets = new Map<string, Opened>();
  private readonly handedOver = new Map<string, HandedOver>();

  constructor(private readonly clock: Clock) {}

  get customers(): readonly string[] {
    return [...this.buckets.keys()];
  }

  find(customer: string): Opened | undefined {
    return this.buckets.get(customer);
  }

  handoverOf(customer: string): HandedOver | undefined {
    return this.handedOver.get(customer);
  }

  open(customer: string, level: number, from?: string): TokenBucket {
    const at = this.clock.now();
    const bucket = new TokenBucket(level, at);
    this.buckets.set(customer, {bucket, from, at});
    this.handedOver.delete(customer);
    return bucket;
  }

  handOver(customer: string, to: string, id: number, level: number): void {
    this.buckets.delete(customer);
    this.handedOver.set(customer, {to, id, at: this.clock.now(), level});
  }

  drop(customer: string): void {
    this.buckets.delete(customer);
  }

  clear(): void {
    this.buckets.clear();
    this.handedOver.clear();
  }

  /**
   * Drops what the grantor would create again as it is.
   *
   * @param limitsOf undefined for a customer whose bucket is to be kept
   */
  prune(limitsOf: (customer: string) => BucketLimits | undefined): void {
    const now = this.clock.now();
    for (const [customer, {bucket}] of this.buckets) {
      const limits = limitsOf(customer);
      if (limits && bucket.level(limits, now) >= limits.capacity) {
        this.buckets.delete(customer);
      }
    }
    for (const [customer, {at}] of this.handedOver) {
      if (now - at > HANDED_OVER_MEMORY_MS) {
        this.handedOver.delete(customer);
      }
    }
  }
}
