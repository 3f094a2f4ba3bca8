/**
 * Prevents sends to upstreams that refused this host with a Retry-After header, until
 * the stated time has passed.
 *
 * An upstream that refuses all requests reports a low load, so selection by load alone
 * would prefer it. When a backoff ends, a single trial request is sent first; others
 * follow after a short delay unless the upstream refuses again.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {Backoff} from './types.js';

/** Bounds the effect of an excessive Retry-After value. */
const MAX_BACKOFF_MS: Milliseconds = 600_000;
/** Time after a trial request within which its refusal is expected. */
const TRIAL_MS: Milliseconds = 250;

interface BackoffState {
  readonly until: Milliseconds;
  /** When the trial request was sent. */
  readonly trialSentAt: Milliseconds | undefined;
}

export class Backoffs {
  private readonly states = new Map<string, BackoffState>();

  constructor(private readonly clock: Clock) {}

  /** Number of upstreams whose backoff has not ended. */
  get count(): number {
    const now = this.clock.now();
    return [...this.states.values()].filter(({until}) => now < until).length;
  }

  /**
   * Records that an upstream refused this host. Of overlapping backoffs, the one that
   * ends last applies.
   *
   * @returns whether a new backoff began, rather than extending a current one
   */
  note(upstream: string, forMs: Milliseconds): boolean {
    const now = this.clock.now();
    const previousUntil = this.states.get(upstream)?.until ?? -Infinity;
    const until = Math.max(
      previousUntil,
      now + Math.min(forMs, MAX_BACKOFF_MS),
    );
    this.states.set(upstream, {until, trialSentAt: undefined});
    return previousUntil <= now;
  }

  /** Whether this host may send a request to the upstream now. */
  allows(upstream: string): boolean {
    return this.waitMs(upstream) === 0;
  }

  /** Time until this host may send a request to the upstream. */
  waitMs(upstream: string): Milliseconds {
    const state = this.states.get(upstream);
    if (!state) {
      return 0;
    }
    const {until, trialSentAt = -Infinity} = state;
    const opensAt = Math.max(until, trialSentAt + TRIAL_MS);
    return Math.max(0, opensAt - this.clock.now());
  }

  /**
   * Whether no request has been sent to the upstream since it last refused one. A
   * request that has already used an attempt shouldn't be the trial, as it may be
   * refused again.
   */
  needsTrial(upstream: string): boolean {
    const state = this.states.get(upstream);
    return state !== undefined && state.trialSentAt === undefined;
  }

  /** Records that a request is sent to the upstream. */
  noteSend(upstream: string): void {
    const state = this.states.get(upstream);
    if (state && state.trialSentAt === undefined) {
      this.states.set(upstream, {...state, trialSentAt: this.clock.now()});
    }
  }

  /** Backoffs due to which this host can't send to some of these upstreams now. */
  blocking(upstreams: readonly string[]): readonly Backoff[] {
    return upstreams
      .map(upstream => ({upstream, leftMs: this.waitMs(upstream)}))
      .filter(({leftMs}) => leftMs > 0);
  }

  /** Drops state that is no longer needed; call it periodically. */
  prune(isInService: (upstream: string) => boolean): void {
    const now = this.clock.now();
    for (const [upstream, {trialSentAt}] of this.states) {
      const isOver = trialSentAt !== undefined && now > trialSentAt + TRIAL_MS;
      if (isOver || !isInService(upstream)) {
        this.states.delete(upstream);
      }
    }
  }
}
