/** The upstreams of one service as this host sees them. */

import type {Milliseconds} from '../../time/index.js';
import {
  INITIAL_SERVICE_MS,
  MAX_EJECTED_SHARE,
  LONG_TERM_RATE_WINDOW_MS,
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
  /** Upstreams that are ejected or on trial. */
  private readonly suspects = new Set<UpstreamState>();

  constructor(now: Milliseconds) {
    this.mean = new RateEstimate(LONG_TERM_RATE_WINDOW_MS, now);
  }

  get all(): readonly UpstreamState[] {
    return this.list;
  }

  /** Own requests in flight at all upstreams. */
  get inFlight(): number {
    return this.busy;
  }

  /** Whether any upstream may get requests, now or once it is healthy. */
  get hasUsable(): boolean {
    return this.list.some(upstream => !upstream.draining);
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
        const removed = this.byName.get(name);
        this.byName.delete(name);
        if (removed) {
          this.suspects.delete(removed);
        }
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
    if (upstream.health.shouldEject(now) && this.mayEject()) {
      upstream.health.eject(now);
      this.suspects.add(upstream);
    } else if (upstream.health.phase(now) === 'healthy') {
      this.suspects.delete(upstream);
    }
  }

  /**
   * An upstream that a repeatable request should try, because its ejection has
   * ended: one request at a time. It goes there past those that wait, or an
   * order at their head, which must not try it, would keep it out for ever.
   */
  findTrial(now: Milliseconds): UpstreamState | undefined {
    for (const upstream of this.suspects) {
      const onTrial = upstream.health.phase(now) === 'trial';
      if (onTrial && upstream.inFlight === 0 && !upstream.draining) {
        return upstream;
      }
    }
    return undefined;
  }

  report(name: string, report: LoadReport): void {
    this.byName.get(name)?.report(report);
  }

  /**
   * Caps ejection: when every upstream fails for a common cause (a broken
   * dependency behind them), ejecting them all turns slow into down.
   */
  private mayEject(): boolean {
    return this.suspects.size + 1 <= this.list.length * MAX_EJECTED_SHARE;
  }
}
