import type {DecisionOptions} from '../decisions/options/index.js';
import type {Outcome} from '../emulator/index.js';

/** A set of options, named by how it differs from the default. */
export interface PolicyChoice {
  readonly name: string;
  readonly options: DecisionOptions;
}

/** One run of a scenario with one policy and one seed. */
export interface ExperimentRun {
  readonly file: string;
  readonly policy: PolicyChoice;
  readonly seed: number;
}

export interface ExperimentResult {
  readonly run: ExperimentRun;
  readonly outcome: Outcome;
}

/** Mean figures of a policy in a scenario, and its gain over the first policy. */
export interface Comparison {
  readonly scenario: string;
  readonly policy: string;
  readonly worth: number;
  readonly inTime: number;
  readonly late: number;
  readonly served: number;
  readonly worstWindows: number;
  readonly probesPerRequest: number;
  readonly farSendsPerRequest: number;
  readonly unknown: number;
  /** Median of the per-seed differences in worth. */
  readonly gain: number;
  /** Bootstrap interval that holds 95% of the medians. */
  readonly interval: readonly [number, number];
}
