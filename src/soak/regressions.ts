/** Seeds that have failed, each with its cause; `--regressions` runs them. */

import type {RunPlan} from './run.js';

export interface Regression {
  readonly seed: number;
  /** Differences from the default run plan. */
  readonly plan?: Partial<RunPlan>;
  readonly cause: string;
}

export const REGRESSIONS: readonly Regression[] = [
  {
    seed: 10,
    cause: 'SIGHUP ended a host that was still starting, on a busy machine',
  },
  {
    seed: 39,
    cause: 'the soak: another connection took a port of a host that was down',
  },
  {
    seed: 44,
    cause: 'the soak: its proxy turned an upstream’s reset into an orderly end',
  },
  {
    seed: 201,
    plan: {faults: 4, faultPhaseMs: 14_000, upstreams: 10, harmful: true},
    cause: 'the soak: its upstream parsed two empty lines as a request',
  },
  {
    seed: 117,
    plan: {
      faults: 7,
      faultPhaseMs: 12_000,
      upstreams: 9,
      harmful: true,
      drills: 4,
    },
    cause: 'a second SIGTERM ended a host during its graceful stop',
  },
  {
    seed: 11,
    plan: {harmful: true, drills: 3, lostReads: 1},
    cause:
      'the soak: SIGHUP ended a host before its first line ran, and nothing restarted it',
  },
  {
    seed: 302,
    plan: {faults: 2, lostReads: 3, harmful: true},
    cause:
      'a reader reported configurations as current although its reads got no response',
  },
];
