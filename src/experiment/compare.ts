/** Compares policies over the same seeds. */

import {mean, median, quantile} from 'd3-array';
import type {Outcome} from '../emulator/index.js';
import {seededRandom} from '../time/index.js';
import type {Comparison, PlayResult} from './types.js';

/** Resamplings of the seeds, for the interval. */
const RESAMPLINGS = 500;
const LOWEST = 0.025;
const HIGHEST = 0.975;
const SEED = 11;

export function compare(results: readonly PlayResult[]): readonly Comparison[] {
  const scenarios = [...new Set(results.map(({play}) => play.file))];
  return scenarios.flatMap(file => {
    const own = results.filter(({play}) => play.file === file);
    const policies = [...new Set(own.map(({play}) => play.policy.name))];
    const [first = ''] = policies;
    const base = outcomesOf(own, first);
    return policies.map(policy =>
      comparisonOf(file, policy, outcomesOf(own, policy), base),
    );
  });
}

function outcomesOf(
  results: readonly PlayResult[],
  policy: string,
): readonly Outcome[] {
  return results
    .filter(({play}) => play.policy.name === policy)
    .sort((a, b) => a.play.seed - b.play.seed)
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
    gain: median(gains) ?? 0,
    interval: intervalOf(gains),
  };
}

/** Bootstrap: medians of seeds drawn again and again. */
function intervalOf(gains: readonly number[]): readonly [number, number] {
  const random = seededRandom(SEED);
  const draw = (): number => gains[Math.floor(random() * gains.length)] ?? 0;
  const medians = Array.from(
    {length: RESAMPLINGS},
    () => median(gains.map(draw)) ?? 0,
  );
  return [quantile(medians, LOWEST) ?? 0, quantile(medians, HIGHEST) ?? 0];
}
