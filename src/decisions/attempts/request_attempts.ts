/**
 * What is certain about one request: where it was sent, and whether it may
 * have run.
 *
 * Answers two failures. An order that is sent again after its answer was lost
 * runs twice. And a caller who is told that its order has not run, though it
 * may have, sends it again itself.
 */

import type {
  AttemptEnd,
  RetryConditions,
  NextStep,
  AttemptLimits,
} from './types.js';

/** With less time left, in ms, no upstream can do anything. */
const MIN_REMAINING_MS = 5;

export class RequestAttempts {
  private readonly triedUpstreams = new Set<string>();
  /** Sends of which it isn't known that they weren't run. */
  private mayHaveRunCount = 0;
  /** Sends that haven't ended. */
  private pending = 0;

  constructor(private readonly limits: AttemptLimits) {}

  /** Upstreams that have had the request. */
  get tried(): ReadonlySet<string> {
    return this.triedUpstreams;
  }

  /** What a caller may be told of the request. */
  get outcome(): 'not-run' | 'unknown' {
    return this.mayHaveRunCount > 0 ? 'unknown' : 'not-run';
  }

  /** Whether an answer may still come. */
  get isPending(): boolean {
    return this.pending > 0;
  }

  /**
   * Whether one more upstream may be sent the request while it is at another.
   * The budget of repeats is asked when it is sent.
   */
  get mayHedge(): boolean {
    return (
      this.limits.repeatable &&
      this.pending === 1 &&
      this.triedUpstreams.size < this.limits.attempts
    );
  }

  /** The request is about to be sent: from now on it may run. */
  noteSend(upstreamId: string): void {
    this.triedUpstreams.add(upstreamId);
    this.mayHaveRunCount += 1;
    this.pending += 1;
  }

  /** Decides what follows from the end of one of the sends. */
  handleEnd(end: AttemptEnd, situation: RetryConditions): NextStep {
    this.pending -= 1;
    if (end === 'not-run') {
      this.mayHaveRunCount -= 1;
    }
    // An answer may still come from another: no third send meanwhile.
    if (end !== 'answered' && this.pending > 0) {
      return {kind: 'await-other'};
    }
    switch (end) {
      case 'answered':
        return {kind: 'deliver'};
      case 'failed':
        return this.retryIfIdempotent(situation) ?? {kind: 'deliver'};
      case 'not-run':
        return (
          this.tryRetry(situation) ?? {
            kind: 'refuse',
            reason: 'upstreams-refused',
          }
        );
      case 'broken':
        return (
          this.retryIfIdempotent(situation) ?? {
            kind: 'refuse',
            reason: 'attempt-broken',
          }
        );
      default:
        return end satisfies never;
    }
  }

  private retryIfIdempotent(situation: RetryConditions): NextStep | undefined {
    return this.limits.repeatable ? this.tryRetry(situation) : undefined;
  }

  /** The budget is asked last: what it grants is spent. */
  private tryRetry(situation: RetryConditions): NextStep | undefined {
    const {
      leftMs,
      isBodyBuffered: bodyHeld,
      trySpendRetry: spendRepeat,
    } = situation;
    const possible =
      bodyHeld &&
      leftMs >= MIN_REMAINING_MS &&
      this.triedUpstreams.size < this.limits.attempts;
    return possible && spendRepeat() ? {kind: 'repeat'} : undefined;
  }
}
