/** The upstreams of one service as this host sees them. */

import type {Milliseconds} from '../../time/index.js';
import {
  INITIAL_SERVICE_MS,
  MAX_EJECTED_SHARE,
  USUAL_RATE_WINDOW_MS,
} from './constants.js';
import {RateEstimate} from './rate_estimate.js';
import type {AttemptResult, LoadReport, RoutedUpstream} from './types.js';
import {UpstreamState} from './upstream_state.js';

/** Weight of the initial rate, in slot-milliseconds. */
const INITIAL_PRIOR_MS = 100;

export class UpstreamTable {
  private readonly byName = new Map<string, UpstreamState>();
  private list: readonly UpstreamState[] = [];
  private readonly mean: RateEstimate;
  private busy = 0;

  constructor(now: Milliseconds) {
    this.mean = new RateEstimate(USUAL_RATE_WINDOW_MS, now);
  }

  get all(): readonly UpstreamState[] {
    return this.list;
  }

  /** Own requests in flight at all upstreams. */
  get inFlight(): number {
    return this.busy;
  }

  get(name: string): UpstreamState | undefined {
    return this.byName.get(name);
  }

  /**
   * Puts a new set of upstreams in place. Those that appear after the first
   * set are cold: they ramp up, since a server that has just started answers
   * slowly and would be swamped by its own idleness.
   */
  configure(specs: readonly RoutedUpstream[], now: Milliseconds): void {
    const first = this.byName.size === 0;
    const names = new Set(specs.map(spec => spec.name));
    for (const name of this.byName.keys()) {
      if (!names.has(name)) {
        this.byName.delete(name);
      }
    }
    for (const spec of specs) {
      const known = this.byName.get(spec.name);
      if (known) {
        known.spec = spec;
      } else {
        const coldSince = first ? -Infinity : now;
        this.byName.set(spec.name, new UpstreamState(spec, now, coldSince));
      }
    }
    this.list = [...this.byName.values()];
  }

  /** Mean completions per busy slot and ms. */
  serviceRate(now: Milliseconds): number {
    return this.mean.rate(1 / INITIAL_SERVICE_MS, INITIAL_PRIOR_MS, now);
  }

  send(upstream: UpstreamState, now: Milliseconds): void {
    upstream.send(now);
    this.busy += 1;
    this.mean.setBusy(this.busy, now);
  }

  end(
    upstream: UpstreamState,
    sentAt: Milliseconds,
    result: AttemptResult,
    now: Milliseconds,
  ): void {
    upstream.end(sentAt, result, now);
    this.busy -= 1;
    this.mean.setBusy(this.busy, now);
    if (result === 'answered') {
      this.mean.complete(now);
    }
    if (upstream.health.wantsEjection(now) && this.mayEject(now)) {
      upstream.health.eject(now);
    }
  }

  report(name: string, report: LoadReport): void {
    this.byName.get(name)?.report(report);
  }

  /**
   * Caps ejection: when every upstream fails for a common cause (a broken
   * dependency behind them), ejecting them all turns slow into down.
   */
  private mayEject(now: Milliseconds): boolean {
    const ejected = this.list.filter(
      upstream => upstream.health.phase(now) !== 'healthy',
    ).length;
    return ejected + 1 <= this.list.length * MAX_EJECTED_SHARE;
  }
}
