import type {DecisionOptions} from '../decisions/options/index.js';
import type {Outcome} from '../emulator/index.js';

/** A choice of mechanisms, named by how it differs from what hosts use. */
export interface PolicyChoice {
  readonly name: string;
  readonly options: DecisionOptions;
}

/** One play of one scenario. */
export interface ExperimentRun {
  readonly file: string;
  readonly policy: PolicyChoice;
  readonly seed: number;
}

export interface ExperimentResult {
  readonly run: ExperimentRun;
  readonly outcome: Outcome;
}

/** What one policy is worth in one scenario, against the first policy. */
export interface Comparison {
  readonly scenario: string;
  readonly policy: string;
  readonly worth: number;
  readonly inTime: number;
  readonly late: number;
  readonly served: number;
  readonly worstWindows: number;
  readonly probesPerRequest: number;
  /** Median of the differences seed by seed, and where 95% of medians lie. */
  readonly gain: number;
  readonly interval: readonly [number, number];
}
