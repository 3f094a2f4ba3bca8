/** Keys, quotas and priorities of customers over a run, and the capacity they share. */

import type {CustomerSpec} from '../standins/index.js';
import type {Milliseconds} from '../time/index.js';
import type {Span} from './types.js';

/** The time during which a key is in the stored configuration. */
export interface KeySpan extends Span {
  readonly customer: string;
}

/** The time during which a quota is in the stored configuration. */
export interface QuotaSpan extends Span {
  readonly ratePerSecond: number;
  readonly burst: number;
}

export interface CapacityChange {
  readonly at: Milliseconds;
  /** Requests per second that all upstreams in service can run. */
  readonly perSecond: number;
}

export class CustomerHistory {
  /** Customers of the stored configuration. */
  specs: readonly CustomerSpec[] = [];
  readonly keys = new Map<string, KeySpan>();
  /** Quotas of each customer, in order; an infinite rate means no limit. */
  readonly quotas = new Map<string, QuotaSpan[]>();
  readonly bursts: Span[] = [];
  readonly capacities: CapacityChange[] = [];
  /** Drills and stalls of the soak in which upstreams offer less than their capacity. */
  readonly capacityFaults: Span[] = [];

  /** @param at time of the store's acknowledgement */
  noteConfiguration(specs: readonly CustomerSpec[], at: Milliseconds): void {
    this.specs = specs;
    const current = new Set(specs.flatMap(({keys}) => keys));
    for (const [key, span] of this.keys) {
      if (!current.has(key) && span.to === Infinity) {
        this.keys.set(key, {...span, to: at});
      }
    }
    for (const spec of specs) {
      for (const key of spec.keys) {
        if (!this.keys.has(key)) {
          this.keys.set(key, {customer: spec.name, from: at, to: Infinity});
        }
      }
      this.noteQuota(spec, at);
    }
  }

  /** The lowest capacity during the span. */
  minCapacity({from, to}: Span): number {
    const before = this.capacities.filter(({at}) => at <= from).at(-1);
    const during = this.capacities.filter(({at}) => at > from && at <= to);
    const all = [...(before ? [before] : []), ...during];
    return Math.min(...all.map(({perSecond}) => perSecond));
  }

  /** A rate of 0 means no limit. */
  private noteQuota(
    {name, ratePerSecond = 0, burst = 0}: CustomerSpec,
    at: Milliseconds,
  ): void {
    const spans = this.quotas.get(name) ?? [];
    const last = spans.at(-1);
    const rate = ratePerSecond > 0 ? ratePerSecond : Infinity;
    if (last?.ratePerSecond !== rate || last.burst !== burst) {
      const ended = last ? [...spans.slice(0, -1), {...last, to: at}] : [];
      const span = {ratePerSecond: rate, burst, from: at, to: Infinity};
      this.quotas.set(name, [...ended, span]);
    }
  }
}
