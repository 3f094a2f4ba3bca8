/** Compares the recent failures of an upstream with those of its service. */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {UpstreamInService} from '../registry/index.js';
import type {OutcomeHistory} from './outcome_history.js';

/** How long a service's median failure factor is cached. */
const MEDIAN_TTL_MS: Milliseconds = 100;

/** Median over a service's upstreams. */
interface CachedMedian {
  readonly failureFactor: number;
  readonly at: Milliseconds;
}

export class RelativeFailures {
  private readonly medianByService = new Map<string, CachedMedian>();

  constructor(
    private readonly clock: Clock,
    private readonly outcomes: OutcomeHistory,
  ) {}

  /**
   * Failure factor relative to the service's median, at least 1. When all upstreams fail
   * alike, there is no better one to wait for: by absolute factors, all slots of the
   * service would stay free while its requests wait until they are refused.
   */
  factor(service: string, id: string): number {
    const median = this.medianByService.get(service)?.failureFactor ?? 1;
    return Math.max(1, this.outcomes.failureFactor(id) / median);
  }

  refreshMedian(
    service: string,
    upstreams: readonly UpstreamInService[],
  ): void {
    const at = this.clock.now();
    const known = this.medianByService.get(service);
    if (known && at - known.at < MEDIAN_TTL_MS) {
      return;
    }
    const factors = upstreams
      .map(({id}) => this.outcomes.failureFactor(id))
      .sort((a, b) => a - b);
    const failureFactor = factors[Math.floor(factors.length / 2)] ?? 1;
    this.medianByService.set(service, {failureFactor, at});
  }
}
