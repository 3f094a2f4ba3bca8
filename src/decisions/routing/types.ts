import type {Milliseconds} from '../../time/index.js';

/** An upstream as routing needs it. */
export interface RoutedUpstream {
  readonly name: string;
  readonly slots: number;
  /** One-way network delay to it; own data centre lowest. */
  readonly distanceMs: Milliseconds;
  /** Requests this host may have open there, from its connection share. */
  readonly connectionShare: number;
}

/** Load that an upstream reports about itself. */
export interface LoadReport {
  /** Requests there, running and queued, when the report was made. */
  readonly inFlight: number;
  /** When this host received it. */
  readonly receivedAt: Milliseconds;
}

/** How an attempt ended, as far as the upstream's health is concerned. */
export type AttemptResult = 'answered' | 'error' | 'shed' | 'cancelled';

/** Switches mechanisms off, to measure what each buys. */
export interface RoutingOptions {
  /** Wait for a slot believed free rather than queue at the upstream. */
  readonly lateBinding: boolean;
  /** Prefer upstreams that completed more per busy slot lately. */
  readonly rates: boolean;
  /** Use load reports to guess what other hosts have sent. */
  readonly reports: boolean;
  /** Let a request wait rather than take a slot that is much slower. */
  readonly waitForFasterSlot: boolean;
}

export const DEFAULT_ROUTING: RoutingOptions = {
  lateBinding: true,
  rates: true,
  reports: true,
  waitForFasterSlot: true,
};
