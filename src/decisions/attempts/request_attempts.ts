/**
 * Tracks the attempts of one request: where it was sent, and whether it may have run.
 *
 * Prevents two failures. A non-idempotent request that is retried after its response
 * was lost runs twice. And a caller that is told that such a request has not run,
 * though it may have, sends it again itself.
 */

import type {
  AttemptEnd,
  AttemptLimits,
  NextStep,
  RetryConditions,
} from './types.js';

/** With less time left, no upstream can respond in time. */
const MIN_REMAINING_MS = 5;

export class RequestAttempts {
  private readonly triedUpstreams = new Set<string>();
  /** Number of attempts that aren't known not to have run. */
  private mayHaveRunCount = 0;
  /** Number of attempts that haven't ended. */
  private pending = 0;

  constructor(private readonly limits: AttemptLimits) {}

  /** Upstreams that the request was sent to. */
  get tried(): ReadonlySet<string> {
    return this.triedUpstreams;
  }

  /** What the caller may be told about a request that fails. */
  get outcome(): 'not-run' | 'unknown' {
    return this.mayHaveRunCount > 0 ? 'unknown' : 'not-run';
  }

  /** Whether an attempt has not ended yet. */
  get isPending(): boolean {
    return this.pending > 0;
  }

  /**
   * Whether the request may be sent to a second upstream while the first attempt is
   * pending. The retry budget is checked when it is sent.
   */
  get mayHedge(): boolean {
    return (
      this.limits.repeatable &&
      this.pending === 1 &&
      this.triedUpstreams.size < this.limits.attempts
    );
  }

  /** Call it before the request is sent: from then on it may run. */
  noteSend(upstreamId: string): void {
    this.triedUpstreams.add(upstreamId);
    this.mayHaveRunCount += 1;
    this.pending += 1;
  }

  /** Decides what follows when an attempt has ended. */
  handleEnd(end: AttemptEnd, conditions: RetryConditions): NextStep {
    this.pending -= 1;
    if (end === 'not-run') {
      this.mayHaveRunCount -= 1;
    }
    // The other attempt may still succeed: there is no third one meanwhile.
    if (end !== 'answered' && this.pending > 0) {
      return {kind: 'await-other'};
    }
    switch (end) {
      case 'answered':
        return {kind: 'deliver'};
      case 'failed':
        return this.retryIfIdempotent(conditions) ?? {kind: 'deliver'};
      case 'not-run':
        return (
          this.tryRetry(conditions) ?? {
            kind: 'refuse',
            reason: 'upstreams-refused',
          }
        );
      case 'broken':
        return (
          this.retryIfIdempotent(conditions) ?? {
            kind: 'refuse',
            reason: 'attempt-broken',
          }
        );
      default:
        return end satisfies never;
    }
  }

  private retryIfIdempotent(conditions: RetryConditions): NextStep | undefined {
    return this.limits.repeatable ? this.tryRetry(conditions) : undefined;
  }

  /** Checks the budget last, because that consumes a retry. */
  private tryRetry(conditions: RetryConditions): NextStep | undefined {
    const {leftMs, isBodyBuffered, trySpendRetry} = conditions;
    const isPossible =
      isBodyBuffered &&
      leftMs >= MIN_REMAINING_MS &&
      this.triedUpstreams.size < this.limits.attempts;
    return isPossible && trySpendRetry() ? {kind: 'repeat'} : undefined;
  }
}
