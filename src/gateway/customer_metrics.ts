/**
 * Prometheus metrics by customer, with bounded cardinality: the largest customers of the
 * last minutes have series of their own, all others share one.
 */

import type {Registry} from 'prom-client';
import {Counter, Histogram} from 'prom-client';
import {LargestCustomers} from '../decisions/customers/index.js';
import type {Clock, Milliseconds} from '../time/index.js';

/** Label of the customers that have no series of their own. */
const OTHERS = 'other';
/** As in the plans of overload control. 17 labels make at most some 530 series a host. */
const MAX_NAMED = 16;
const LIMITS = {
  maxNamed: MAX_NAMED,
  maxCounted: 8 * MAX_NAMED,
  halfLifeMs: 60_000,
  reviewMs: 10_000,
};
/** Coarser than the buckets by class, as there are up to 17 customers. */
const BUCKETS_SECONDS = [0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2, 4, 10];
const MS_PER_SECOND = 1_000;
/** Upstreams may answer with any status: only its class becomes a label. */
const ANSWERED = /^(answered-\d)\d\d$/;

export class CustomerMetrics {
  private readonly largest = new LargestCustomers(LIMITS);
  /** Outcomes of each label: prom-client removes series by all of their labels only. */
  private readonly outcomes = new Map<string, Set<string>>();
  private readonly requests: Counter<'customer' | 'outcome'>;
  private readonly durations: Histogram<'customer'>;

  constructor(
    registry: Registry,
    private readonly clock: Clock,
  ) {
    const registers = [registry];
    this.requests = new Counter({
      name: 'cyclamenlever_customer_requests_total',
      help: 'Requests by customer (the largest of the last minutes, the rest as other) and outcome',
      labelNames: ['customer', 'outcome'],
      registers,
    });
    this.durations = new Histogram({
      name: 'cyclamenlever_customer_request_seconds',
      help: 'Time from arrival to the answer of an upstream, by customer',
      labelNames: ['customer'],
      buckets: BUCKETS_SECONDS,
      registers,
    });
  }

  countRequest(name: string, outcome: string, elapsedMs: Milliseconds): void {
    this.prune();
    this.largest.note(name);
    const customer = this.largest.isNamed(name) ? name : OTHERS;
    const answered = ANSWERED.exec(outcome)?.[1];
    const label = answered ? `${answered}xx` : outcome;
    this.requests.inc({customer, outcome: label});
    const known = this.outcomes.get(customer) ?? new Set();
    this.outcomes.set(customer, known.add(label));
    if (answered) {
      // Refusals are left out: at a millisecond each, they would hide slow answers.
      this.durations.observe({customer}, elapsedMs / MS_PER_SECOND);
    }
  }

  /** Removes the series of customers that are no longer among the largest. */
  prune(): void {
    for (const customer of this.largest.review(this.clock.now())) {
      if (customer !== OTHERS) {
        this.removeSeries(customer);
      }
    }
  }

  private removeSeries(customer: string): void {
    for (const outcome of this.outcomes.get(customer) ?? []) {
      this.requests.remove({customer, outcome});
    }
    this.outcomes.delete(customer);
    this.durations.remove({customer});
  }
}
