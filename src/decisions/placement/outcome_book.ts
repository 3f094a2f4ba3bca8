/**
 * Remembers how requests fared at each upstream.
 *
 * Answers the upstream whose health endpoint is good while it fails or stalls
 * requests: it looks idle, so a choice by load alone sends it more than any
 * other. Each failure multiplies its estimated time. The factor fades, so that
 * an upstream is tried again, and nobody is ever shut out altogether: when all
 * fail alike, all stay in use.
 */

import type {Clock, Milliseconds} from '../../time/index.js';

/** Time for half of a failure's weight to fade; a grey spell lasts some 6 s. */
const HALF_LIFE_MS: Milliseconds = 4_000;
/** Share of the weight that a success leaves. */
const SUCCESS_LEAVES = 0.6;
const MOST_FAILURES = 6;
/** Factor on the estimate for each failure remembered. */
const FACTOR_PER_FAILURE = 3;

/** How bad a failure is. */
const FAILURE_WEIGHTS = {
  shed: 0.3,
  error: 1,
  broken: 1,
  unreachable: 3,
} as const;

export type UpstreamFailure = keyof typeof FAILURE_WEIGHTS;

interface Memory {
  readonly failures: number;
  readonly at: Milliseconds;
}

export class OutcomeBook {
  private readonly memories = new Map<string, Memory>();

  constructor(private readonly clock: Clock) {}

  failed(id: string, failure: UpstreamFailure): void {
    const failures = this.failures(id) + FAILURE_WEIGHTS[failure];
    this.remember(id, Math.min(MOST_FAILURES, failures));
  }

  succeeded(id: string): void {
    if (this.memories.has(id)) {
      this.remember(id, this.failures(id) * SUCCESS_LEAVES);
    }
  }

  /** Factor of 1 or more on the time that a request would take there. */
  factor(id: string): number {
    return 1 + FACTOR_PER_FAILURE * this.failures(id);
  }

  forget(id: string): void {
    this.memories.delete(id);
  }

  private failures(id: string): number {
    const memory = this.memories.get(id);
    if (!memory) {
      return 0;
    }
    const age = this.clock.now() - memory.at;
    return memory.failures * 0.5 ** (age / HALF_LIFE_MS);
  }

  private remember(id: string, failures: number): void {
    this.memories.set(id, {failures, at: this.clock.now()});
  }
}
