/** Routes that an operator configures, and their destinations. */

import type {Milliseconds} from '../../time/index.js';
import type {Customer} from '../customers/index.js';

/** A service that gets a share of a route's requests. */
export interface Destination {
  readonly service: string;
  /** Relative to the other destinations of the route. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether requests are idempotent: they may run more than once. */
  readonly repeatable: boolean;
  /** Longest time that a caller waits for a response. */
  readonly timeoutMs: Milliseconds;
  /** Target latency: a response within it has its full value. */
  readonly targetMs: Milliseconds;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Maximum number of upstreams that one request may be sent to. */
  readonly attempts: number;
  /** Empty if the route can't be decoded: its requests are refused. */
  readonly destinations: readonly Destination[];
  /** Regions whose upstreams may run its requests; undefined if all may. */
  readonly regions?: readonly string[];
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Whether responses are so large that they fill a host's network link. */
  readonly hasLargeResponses: boolean;
}

export interface ServiceProfile {
  readonly name: string;
  /** Path of an upstream's endpoint for health and load. */
  readonly healthPath: string;
  /** Connections that one upstream accepts from the whole fleet. */
  readonly maxConnections: number;
  /** Requests a second that a cold upstream can handle; undefined for no limit. */
  readonly coldPerSecond?: number;
}

/** Limits for the size of callers' requests and the time they may take to send them. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: Milliseconds;
  readonly idleMs: Milliseconds;
}

/** A complete configuration. */
export interface RouteTable {
  /** Increases with each change, not necessarily by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceProfile[];
  /** Empty if requests need no key. */
  readonly customers: readonly Customer[];
  readonly limits: CallerLimits;
}

/** Why no route matches a request. */
export type RouteMiss =
  | {readonly kind: 'no-route-for-host'}
  | {readonly kind: 'no-matching-prefix'}
  /** The route was removed by this version. */
  | {readonly kind: 'route-removed'; readonly version: number};
