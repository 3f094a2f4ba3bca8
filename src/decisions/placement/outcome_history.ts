/**
 * Remembers how requests fared at each upstream.
 *
 * Answers the upstream whose health endpoint is good while it fails or stalls
 * requests: it looks idle, so a choice by load alone sends it more than any
 * other. Each failure multiplies its cost. The factor fades, so that an
 * upstream is tried again, and nobody is ever shut out altogether: when all
 * fail alike, all stay in use.
 *
 * Sheds are kept apart from harm. A shed costs a few milliseconds and nothing
 * has run; an upstream that sheds some is still better than a slot that stays
 * free while requests wait until they are refused.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {DecisionOptions} from '../options/index.js';

/** Time for half of a failure's weight to fade. */
const HALF_LIFE_MS: Milliseconds = 4_000;
/** Share of the weight that a success leaves. */
const SHARE_LEFT_BY_SUCCESS = 0.6;
const MAX_FAILURE_WEIGHT = 6;
/** Factor on the estimate for each failure remembered. */
const FACTOR_PER_FAILURE = 3;

/** How bad a failure that may have cost a request is. */
const FAILURE_WEIGHTS = {shed: 0, error: 1, broken: 1, unreachable: 3} as const;
/** How bad a shed is, beside these. */
const SHED_WEIGHT = 0.3;

export type UpstreamFailure = keyof typeof FAILURE_WEIGHTS;

interface FailureWeights {
  readonly failures: number;
  readonly sheds: number;
}

interface TimestampedWeights extends FailureWeights {
  readonly at: Milliseconds;
}

const NO_FAILURES: FailureWeights = {failures: 0, sheds: 0};

export class OutcomeHistory {
  private readonly weightsById = new Map<string, TimestampedWeights>();

  constructor(
    private readonly clock: Clock,
    private readonly options: DecisionOptions,
  ) {}

  failed(id: string, failure: UpstreamFailure): void {
    const {failures: harm, sheds} = this.failures(id);
    this.remember(id, {
      failures: Math.min(MAX_FAILURE_WEIGHT, harm + FAILURE_WEIGHTS[failure]),
      sheds: Math.min(
        MAX_FAILURE_WEIGHT,
        sheds + (failure === 'shed' ? SHED_WEIGHT : 0),
      ),
    });
  }

  succeeded(id: string): void {
    if (this.weightsById.has(id)) {
      const {failures: harm, sheds} = this.failures(id);
      this.remember(id, {
        failures: harm * SHARE_LEFT_BY_SUCCESS,
        sheds: sheds * SHARE_LEFT_BY_SUCCESS,
      });
    }
  }

  /** Factor of 1 or more on the cost of a request there. */
  costFactor(id: string): number {
    const {failures: harm, sheds} = this.failures(id);
    return 1 + FACTOR_PER_FAILURE * Math.min(MAX_FAILURE_WEIGHT, harm + sheds);
  }

  /** The same for failures that may have cost a request. */
  failureFactor(id: string): number {
    return 1 + FACTOR_PER_FAILURE * this.failures(id).failures;
  }

  forget(id: string): void {
    this.weightsById.delete(id);
  }

  private failures(id: string): FailureWeights {
    const memory = this.weightsById.get(id);
    if (!memory || !this.options.remembersFailures) {
      return NO_FAILURES;
    }
    const left = 0.5 ** ((this.clock.now() - memory.at) / HALF_LIFE_MS);
    return {failures: memory.failures * left, sheds: memory.sheds * left};
  }

  private remember(id: string, failures: FailureWeights): void {
    this.weightsById.set(id, {...failures, at: this.clock.now()});
  }
}
