import type {Milliseconds} from '../time/index.js';

/** How a caller's request ended; `left`: the caller closed its connection. */
export type Ending = 'in time' | 'late' | 'refused' | 'failed' | 'left';

/** Why a request wasn't answered in time. */
export type Cause =
  | 'refused: no room to be in time'
  | 'refused: time over before a send'
  | 'refused: upstreams shed'
  | 'refused: no upstream'
  | 'refused: host not ready'
  | 'refused: unknown key'
  | 'refused: over quota'
  | 'refused: shed by overload control'
  | 'refused: host busy'
  | 'refused: quarantined'
  | 'refused: newer configuration'
  | 'refused: unusable route'
  | 'late: started late'
  | 'late: ran at a slow upstream'
  | 'late: ran at a nearly full upstream'
  | 'late: a send failed first'
  | 'late: ran long'
  | 'failed: no whole answer'
  | 'failed: silent'
  | 'failed: an error of the host'
  | "failed: the upstream's error"
  | 'failed: otherwise'
  | 'left while waiting'
  | 'left while an upstream was at work';

export interface Classification {
  readonly ending: Ending;
  /** Undefined for requests answered in time. */
  readonly cause: Cause | undefined;
}

/** Number of requests by ending. */
export type Endings = Readonly<Record<Ending, number>>;

export interface RouteAccount {
  readonly route: string;
  readonly endings: Endings;
  readonly causes: ReadonlyMap<Cause, number>;
}

/** Requests of one customer. */
export interface CustomerUse {
  /** Undefined for requests without a valid key. */
  readonly customer: string | undefined;
  readonly requests: number;
  readonly endings: Endings;
  /** Refused requests by cause. */
  readonly refusals: ReadonlyMap<Cause, number>;
  /** Requests by host. */
  readonly hosts: ReadonlyMap<string, number>;
}

export interface SecondAccount {
  /** Seconds since the first line. */
  readonly second: number;
  readonly endings: Endings;
  /** Mean number of free slots that upstreams had reported when requests were refused. */
  readonly freeSlotsWhileRefusing: number | undefined;
  readonly probes: number;
}

/** Attempts at upstreams that had this many requests running. */
export interface OccupancyAccount {
  readonly running: number;
  readonly sends: number;
  /** Median time to the response at usual speed; undefined without a response. */
  readonly medianMs: Milliseconds | undefined;
  /** The same for work that took at least twice as long as usual. */
  readonly slowMedianMs: Milliseconds | undefined;
}

export interface Account {
  /** Number of callers' requests. */
  readonly attempts: number;
  readonly routes: readonly RouteAccount[];
  /** Empty if no request needed a key. */
  readonly customers: readonly CustomerUse[];
  readonly seconds: readonly SecondAccount[];
  readonly occupancies: readonly OccupancyAccount[];
  readonly probes: number;
  /** Median age of an upstream's known load when an attempt was made. */
  readonly loadAgeMs: Milliseconds | undefined;
  /** Lines older than an earlier line of the same host. */
  readonly outOfOrder: number;
}
