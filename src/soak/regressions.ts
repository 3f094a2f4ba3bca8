/** Seeds that ever failed, each with its cause; `--regressions` plays them. */

export interface Regression {
  readonly seed: number;
  readonly cause: string;
}

export const REGRESSIONS: readonly Regression[] = [
  {
    seed: 10,
    cause: 'SIGHUP ended a host that was still starting, on a busy machine',
  },
  {
    seed: 39,
    cause: 'the soak: a port of a host that was down was taken meanwhile',
  },
  {
    seed: 44,
    cause: 'the soak: its proxy turned an upstream’s reset into an orderly end',
  },
];
