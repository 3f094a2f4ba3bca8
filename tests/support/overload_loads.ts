/** Loads of simulated overloads, and what their customers get with and without plans. */

import type {Milliseconds} from '../../src/time/index.js';
import type {ServedFigures} from './overload_figures.js';
import {figuresOf} from './overload_figures.js';
import type {Load, OverloadScenario} from './overload_scenario.js';
import {OverloadSimulation} from './overload_simulation.js';

export const BURST_FROM_MS: Milliseconds = 2_000;
export const BURST_TO_MS: Milliseconds = 6_000;
/** Hosts know of the burst, and customers have filled the slots that were free. */
const SETTLED_MS: Milliseconds = BURST_FROM_MS + 300;
const SEEDS = [1, 2, 3];

export const LOOKUP = {
  rank: 0,
  workMs: 221,
  targetMs: 550,
  deadlineMs: 5_476,
} as const;
export const ORDER = {
  rank: 1,
  workMs: 291,
  targetMs: 850,
  deadlineMs: 5_299,
} as const;
export const DOWNLOAD = {
  rank: 2,
  isDownload: true,
  workMs: 184,
  targetMs: 4_151,
  deadlineMs: 10_346,
} as const;

export interface Fleet {
  readonly hosts: number;
  readonly upstreams: number;
  readonly slots: number;
  /** Work that its upstreams serve at twice the demand, in ms of work per second. */
  readonly capacity: number;
}

export const SMALL_FLEET: Fleet = {
  hosts: 12,
  upstreams: 8,
  slots: 4,
  capacity: 16_200,
};
export const LARGE_FLEET: Fleet = {
  hosts: 60,
  upstreams: 146,
  slots: 2,
  capacity: 143_800,
};

/** @param calm demand as a share of the fleet's capacity outside the burst */
export function loadOf(
  fleet: Fleet,
  kind: Omit<Load, 'customer' | 'priority' | 'rateAt'>,
  customer: string,
  priority: number | undefined,
  calm: number,
  peak = calm,
  [from, to] = [BURST_FROM_MS, BURST_TO_MS],
): Load {
  const perShare = fleet.capacity / kind.workMs;
  const rateAt = (at: Milliseconds): number =>
    perShare * (at >= from && at < to ? peak : calm);
  return {...kind, customer, priority, rateAt};
}

export interface Played {
  readonly runs: readonly OverloadSimulation[];
  /** Work that upstreams completed in the burst, in ms of work per second. */
  readonly work: number;
  /** Mean figures of the requests that were first sent in the burst. */
  readonly of: (isCounted?: (load: Load) => boolean) => ServedFigures;
}

export function play(
  scenario: OverloadScenario,
  [from, to] = [SETTLED_MS, BURST_TO_MS],
): Played {
  const played = SEEDS.map(seed => {
    const run = new OverloadSimulation({...scenario, seed}).run(from);
    const before = run.completedWorkMs;
    const workMs = run.run(to).completedWorkMs - before;
    return {run: run.run(), work: (1_000 * workMs) / (to - from)};
  });
  const runs = played.map(({run}) => run);
  return {
    runs,
    work: meanOf(played.map(({work}) => work)),
    of: isCounted =>
      figuresOf(
        runs.flatMap(({requests}) => requests),
        isCounted,
        from,
        to,
      ),
  };
}

/** The same load with and without plans. */
export function playBoth(
  scenario: OverloadScenario,
  window?: [Milliseconds, Milliseconds],
): {readonly before: Played; readonly after: Played} {
  return {
    before: play({...scenario, hasPlans: false}, window),
    after: play(scenario, window),
  };
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, one) => sum + one, 0) / values.length;
}
