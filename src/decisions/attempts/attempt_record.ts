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
  AttemptSituation,
  NextStep,
  SendLimits,
} from './types.js';

/** With less time left, in ms, no upstream can do anything. */
const LEAST_TIME_MS = 5;

export class AttemptRecord {
  private readonly sentTo = new Set<string>();
  /** Sends of which it isn't known that they weren't run. */
  private uncertain = 0;
  /** Sends that haven't ended. */
  private pending = 0;

  constructor(private readonly limits: SendLimits) {}

  /** Upstreams that have had the request. */
  get tried(): ReadonlySet<string> {
    return this.sentTo;
  }

  /** What a caller may be told of the request. */
  get outcome(): 'not-run' | 'unknown' {
    return this.uncertain > 0 ? 'unknown' : 'not-run';
  }

  /** Whether an answer may still come. */
  get isAwaited(): boolean {
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
      this.sentTo.size < this.limits.attempts
    );
  }

  /** The request is about to be sent: from now on it may run. */
  noteSend(upstreamId: string): void {
    this.sentTo.add(upstreamId);
    this.uncertain += 1;
    this.pending += 1;
  }

  /** Decides what follows from the end of one of the sends. */
  noteEnd(end: AttemptEnd, situation: AttemptSituation): NextStep {
    this.pending -= 1;
    if (end === 'not-run') {
      this.uncertain -= 1;
    }
    // An answer may still come from another: no third send meanwhile.
    if (end !== 'answered' && this.pending > 0) {
      return {kind: 'await-other'};
    }
    switch (end) {
      case 'answered':
        return {kind: 'deliver'};
      case 'failed':
        return this.repeatIfIdempotent(situation) ?? {kind: 'deliver'};
      case 'not-run':
        return (
          this.repeat(situation) ?? {
            kind: 'refuse',
            reason: 'upstreams-refused',
          }
        );
      case 'broken':
        return (
          this.repeatIfIdempotent(situation) ?? {
            kind: 'refuse',
            reason: 'attempt-broken',
          }
        );
      default:
        return end satisfies never;
    }
  }

  private repeatIfIdempotent(
    situation: AttemptSituation,
  ): NextStep | undefined {
    return this.limits.repeatable ? this.repeat(situation) : undefined;
  }

  /** The budget is asked last: what it grants is spent. */
  private repeat(situation: AttemptSituation): NextStep | undefined {
    const {leftMs, bodyHeld, spendRepeat} = situation;
    const possible =
      bodyHeld &&
      leftMs >= LEAST_TIME_MS &&
      this.sentTo.size < this.limits.attempts;
    return possible && spendRepeat() ? {kind: 'repeat'} : undefined;
  }
}
