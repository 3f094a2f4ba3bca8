import type {Milliseconds} from '../time/index.js';

/** What became of a caller's attempt. */
export type Ending = 'in time' | 'late' | 'refused' | 'failed' | 'left';

/** Why an attempt wasn't answered in time. */
export type Cause =
  | 'refused: no room to be in time'
  | 'refused: time over before a send'
  | 'refused: upstreams shed'
  | 'refused: no upstream'
  | 'refused: host not ready'
  | 'late: started late'
  | 'late: ran at a slow upstream'
  | 'late: ran at a nearly full upstream'
  | 'late: a send failed first'
  | 'late: ran long'
  | 'failed: no whole answer'
  | 'failed: silent'
  | "failed: the upstream's error"
  | 'failed: otherwise'
  | 'left while waiting'
  | 'left while an upstream was at work';

export interface Classification {
  readonly ending: Ending;
  /** Undefined for what was in time. */
  readonly cause: Cause | undefined;
}

/** Attempts by ending. */
export type Endings = Readonly<Record<Ending, number>>;

export interface RouteAccount {
  readonly route: string;
  readonly endings: Endings;
  readonly causes: ReadonlyMap<Cause, number>;
}

export interface SecondAccount {
  /** From the first line on. */
  readonly second: number;
  readonly endings: Endings;
  /** Slots told free, in the mean, when attempts were refused. */
  readonly freeSlotsWhileRefusing: number | undefined;
  readonly probes: number;
}

/** Sends that met an upstream with so many requests running. */
export interface OccupancyAccount {
  readonly running: number;
  readonly sends: number;
  /** Median time to the answer at usual speed; undefined without an answer. */
  readonly medianMs: Milliseconds | undefined;
  /** The same where work took at least twice as long as usual. */
  readonly slowMedianMs: Milliseconds | undefined;
}

export interface Account {
  readonly attempts: number;
  readonly routes: readonly RouteAccount[];
  readonly seconds: readonly SecondAccount[];
  readonly occupancies: readonly OccupancyAccount[];
  readonly probes: number;
  /** Median age of the load that was known of an upstream at a send. */
  readonly loadAgeMs: Milliseconds | undefined;
  /** Lines older than one that stood before them in the same file. */
  readonly outOfOrder: number;
}
