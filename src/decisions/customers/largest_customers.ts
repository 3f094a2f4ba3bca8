/**
 * Finds the customers that sent the most requests lately, in bounded memory.
 *
 * Uses the space-saving algorithm (Metwally et al., 2005): if all counters are in use, a
 * new customer takes over the smallest one together with its count, which is remembered
 * as the possible error. Counts are halved at regular intervals, so that customers that
 * stopped sending make room.
 */

import type {Milliseconds} from '../../time/index.js';

export interface LargestCustomersLimits {
  /** Customers that are reported by name. */
  readonly maxNamed: number;
  /** Customers that are counted; several times `maxNamed`, so that counts are exact enough. */
  readonly maxCounted: number;
  /** Interval at which counts are halved. */
  readonly halfLifeMs: Milliseconds;
  /** Interval at which the named customers are chosen again. */
  readonly reviewMs: Milliseconds;
}

interface Counter {
  count: number;
  /** Part of the count that may belong to customers that had the counter before. */
  error: number;
}

/** Counts below this are as good as none: the customer has been idle for some half-lives. */
const MIN_COUNT = 0.1;
/**
 * A customer replaces a named one only if it is larger by this factor. Without it, two
 * customers of equal size would replace each other, and their counters in the metrics
 * would start at 0 each time.
 */
const REPLACEMENT_FACTOR = 1.25;

const NONE: readonly string[] = [];

export class LargestCustomers {
  private readonly counters = new Map<string, Counter>();
  private readonly named = new Set<string>();
  private halvedAt: Milliseconds | undefined;
  private reviewedAt: Milliseconds = -Infinity;

  constructor(private readonly limits: LargestCustomersLimits) {}

  isNamed(customer: string): boolean {
    return this.named.has(customer);
  }

  /** Counts a request. */
  note(customer: string): void {
    const counter = this.counters.get(customer) ?? this.claimCounter(customer);
    counter.count += 1;
    if (this.named.size < this.limits.maxNamed) {
      this.named.add(customer);
    }
  }

  /** Chooses the named customers if it is time to; returns those that are no longer named. */
  review(now: Milliseconds): readonly string[] {
    this.halveCounts(now);
    if (now - this.reviewedAt < this.limits.reviewMs) {
      return NONE;
    }
    this.reviewedAt = now;
    const largest = this.chooseNamed();
    const dropped = [...this.named].filter(name => !largest.has(name));
    this.named.clear();
    largest.forEach(name => this.named.add(name));
    return dropped;
  }

  private claimCounter(customer: string): Counter {
    let inherited = 0;
    if (this.counters.size >= this.limits.maxCounted) {
      const smallest = this.findSmallest();
      inherited = this.counters.get(smallest)?.count ?? 0;
      this.counters.delete(smallest);
    }
    const counter = {count: inherited, error: inherited};
    this.counters.set(customer, counter);
    return counter;
  }

  private findSmallest(): string {
    let smallest = '';
    let least = Infinity;
    for (const [name, {count}] of this.counters) {
      if (count < least) {
        smallest = name;
        least = count;
      }
    }
    return smallest;
  }

  private halveCounts(now: Milliseconds): void {
    this.halvedAt ??= now;
    const halvings = Math.floor((now - this.halvedAt) / this.limits.halfLifeMs);
    if (halvings === 0) {
      return;
    }
    this.halvedAt += halvings * this.limits.halfLifeMs;
    const factor = 0.5 ** halvings;
    for (const [name, counter] of this.counters) {
      counter.count *= factor;
      counter.error *= factor;
      if (counter.count < MIN_COUNT) {
        this.counters.delete(name);
      }
    }
  }

  private chooseNamed(): ReadonlySet<string> {
    const ranked = [...this.counters]
      .map(([name, {count, error}]) => {
        const factor = this.named.has(name) ? REPLACEMENT_FACTOR : 1;
        return {name, weight: (count - error) * factor};
      })
      .sort((a, b) => b.weight - a.weight);
    return new Set(ranked.slice(0, this.limits.maxNamed).map(({name}) => name));
  }
}
