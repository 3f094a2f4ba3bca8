/** Seeds that ever failed, each with its cause; CI plays them again. */

export interface Regression {
  readonly seed: number;
  readonly cause: string;
}

export const REGRESSIONS: readonly Regression[] = [];
