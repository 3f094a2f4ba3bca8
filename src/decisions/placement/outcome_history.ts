/**
 * Tracks recent failures of each upstream as a factor on its cost.
 *
 * An upstream that fails or stalls requests while its health endpoint reports success
 * looks idle, so a choice by load alone would send it more than any other. Each failure
 * raises its cost factor. The factor decays, so that the upstream is tried again, and
 * no upstream is ever excluded: when all fail alike, all stay in use.
 *
 * Sheds are counted apart from other failures. A shed costs a few milliseconds and
 * nothing has run; an upstream that sheds some requests is still better than leaving
 * its free slots unused while requests wait until they are refused.
 */

import type {Clock, Milliseconds} from '../../time/index.js';
import type {DecisionOptions} from '../options/index.js';

/** Time for half of a failure's weight to fade. */
const HALF_LIFE_MS: Milliseconds = 4_000;
/** Factor on the weights at each success. */
const SHARE_LEFT_BY_SUCCESS = 0.6;
const MAX_FAILURE_WEIGHT = 6;
/** Added to the cost factor for each unit of failure weight. */
const FACTOR_PER_FAILURE = 3;

/** Weights of failures that may have cost a request; a shed never does. */
const FAILURE_WEIGHTS = {shed: 0, error: 1, broken: 1, unreachable: 3} as const;
/** Weight of a shed, which is counted apart. */
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
    const {failures, sheds} = this.currentWeights(id);
    this.remember(id, {
      failures: Math.min(
        MAX_FAILURE_WEIGHT,
        failures + FAILURE_WEIGHTS[failure],
      ),
      sheds: Math.min(
        MAX_FAILURE_WEIGHT,
        sheds + (failure === 'shed' ? SHED_WEIGHT : 0),
      ),
    });
  }

  succeeded(id: string): void {
    if (this.weightsById.has(id)) {
      const {failures, sheds} = this.currentWeights(id);
      this.remember(id, {
        failures: failures * SHARE_LEFT_BY_SUCCESS,
        sheds: sheds * SHARE_LEFT_BY_SUCCESS,
      });
    }
  }

  /** Factor on the cost of a request, 1 or more. */
  costFactor(id: string): number {
    const {failures, sheds} = this.currentWeights(id);
    return (
      1 + FACTOR_PER_FAILURE * Math.min(MAX_FAILURE_WEIGHT, failures + sheds)
    );
  }

  /** The same without sheds. */
  failureFactor(id: string): number {
    return 1 + FACTOR_PER_FAILURE * this.currentWeights(id).failures;
  }

  forget(id: string): void {
    this.weightsById.delete(id);
  }

  private currentWeights(id: string): FailureWeights {
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
