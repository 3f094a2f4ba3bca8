/** Figures of simulated overloads. */

import type {Milliseconds} from '../../src/time/index.js';
import type {CallerRequest, Load} from './overload_scenario.js';

export interface ServedFigures {
  readonly count: number;
  /** Share of the requests answered before the caller gave up. */
  readonly served: number;
  readonly inTime: number;
  /** Share of the requests that were refused twice or more. */
  readonly refusedTwice: number;
  readonly servedWorkMs: Milliseconds;
}

export function figuresOf(
  requests: readonly CallerRequest[],
  isCounted: (load: Load) => boolean = () => true,
  fromMs: Milliseconds = 0,
  toMs: Milliseconds = Infinity,
): ServedFigures {
  const counted = requests.filter(
    ({load, firstSentAt}) =>
      isCounted(load) && firstSentAt >= fromMs && firstSentAt < toMs,
  );
  const served = counted.filter(({answeredAt}) => answeredAt !== undefined);
  const shareOf = (part: readonly CallerRequest[]): number =>
    counted.length > 0 ? part.length / counted.length : 1;
  return {
    count: counted.length,
    served: shareOf(served),
    inTime: shareOf(
      served.filter(
        ({answeredAt = Infinity, firstSentAt, load}) =>
          answeredAt <= firstSentAt + load.targetMs,
      ),
    ),
    refusedTwice: shareOf(counted.filter(({refusals}) => refusals > 1)),
    servedWorkMs: served.reduce((sum, {load}) => sum + load.workMs, 0),
  };
}
