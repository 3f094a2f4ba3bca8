import type {Milliseconds} from '../../time/index.js';

/** Properties of an upstream that routing needs. */
export interface RoutedUpstream {
  readonly name: string;
  readonly slots: number;
  /** One-way network delay to it; lowest within the data centre. */
  readonly distanceMs: Milliseconds;
  /** Limit of this host's requests in flight there: its share of the connections. */
  readonly connectionShare: number;
}

/** Load that an upstream reports about itself. */
export interface LoadReport {
  /** Running and queued requests at the time of the report. */
  readonly inFlight: number;
  /** When this host received it. */
  readonly receivedAt: Milliseconds;
}

/** Result of an attempt, as the upstream's health is concerned. */
export type AttemptResult = 'answered' | 'error' | 'shed' | 'cancelled';

/** Switches for single mechanisms, to measure the effect of each. */
export interface RoutingOptions {
  /** Wait for an estimated free slot instead of queueing at the upstream. */
  readonly lateBinding: boolean;
  /** Prefer upstreams with a higher recent completion rate per busy slot. */
  readonly rates: boolean;
  /** Use load reports to estimate the requests of other hosts. */
  readonly reports: boolean;
  /** Let a request wait instead of using a much slower slot. */
  readonly waitForFasterSlot: boolean;
}

export const DEFAULT_ROUTING: RoutingOptions = {
  lateBinding: true,
  rates: true,
  reports: true,
  waitForFasterSlot: true,
};
