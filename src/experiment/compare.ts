/** Compares policies by paired runs with the same seeds. */

import {mean, median, quantile} from 'd3-array';
import type {Outcome} from '../emulator/index.js';
import {seededRandom} from '../time/index.js';
import type {Comparison, ExperimentResult} from './types.js';

/** Resamplings of the seeds for the confidence interval. */
const BOOTSTRAP_SAMPLES = 500;
const LOWER_QUANTILE = 0.025;
const UPPER_QUANTILE = 0.975;
const BOOTSTRAP_SEED = 11;

export function compare(
  results: readonly ExperimentResult[],
): readonly Comparison[] {
  const scenarios = [...new Set(results.map(({run}) => run.file))];
  return scenarios.flatMap(file => {
    const own = results.filter(({run}) => run.file === file);
    const policies = [...new Set(own.map(({run}) => run.policy.name))];
    const [first = ''] = policies;
    const base = outcomesOf(own, first);
    return policies.map(policy =>
      comparisonOf(file, policy, outcomesOf(own, policy), base),
    );
  });
}

function outcomesOf(
  results: readonly ExperimentResult[],
  policy: string,
): readonly Outcome[] {
  return results
    .filter(({run}) => run.policy.name === policy)
    .sort((a, b) => a.run.seed - b.run.seed)
    .map(({outcome}) => outcome);
}

function comparisonOf(
  scenario: string,
  policy: string,
  outcomes: readonly Outcome[],
  base: readonly Outcome[],
): Comparison {
  const gains = outcomes.map(
    ({worth}, index) => worth - (base[index]?.worth ?? worth),
  );
  const meanOf = (read: (outcome: Outcome) => number): number =>
    mean(outcomes, read) ?? 0;
  return {
    scenario,
    policy,
    worth: meanOf(one => one.worth),
    inTime: meanOf(one => one.inTime),
    late: meanOf(one => one.late),
    served: meanOf(one => one.served),
    worstWindows: meanOf(one => one.worstWindows),
    probesPerRequest: meanOf(one => one.probesPerRequest),
    farSendsPerRequest: meanOf(one => one.farSendsPerRequest),
    unknown: meanOf(one => one.unknown),
    gain: median(gains) ?? 0,
    interval: intervalOf(gains),
  };
}

/** Bootstrap interval: quantiles of the medians of resampled gains. */
function intervalOf(gains: readonly number[]): readonly [number, number] {
  const random = seededRandom(BOOTSTRAP_SEED);
  const draw = (): number => gains[Math.floor(random() * gains.length)] ?? 0;
  const medians = Array.from(
    {length: BOOTSTRAP_SAMPLES},
    () => median(gains.map(draw)) ?? 0,
  );
  return [
    quantile(medians, LOWER_QUANTILE) ?? 0,
    quantile(medians, UPPER_QUANTILE) ?? 0,
  ];
}
