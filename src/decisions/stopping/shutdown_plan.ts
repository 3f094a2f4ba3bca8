/**
 * Plans a stop within the time that the platform grants.
 *
 * A host that closes its connections at once cuts requests that are on their
 * way to it, and one that takes new ones until the end can't finish them.
 */

import type {Milliseconds} from '../../time/index.js';

/**
 * The platform takes a host out of rotation after two failed questions, one a
 * second; until then new connections still come.
 */
const OUT_OF_ROTATION_MS: Milliseconds = 2_600;
/** New requests are taken for no more than this share of the time. */
const MAX_ACCEPTING_SHARE = 0.5;
/** Kept for closing before the process is killed; a slow host needs it. */
const CLOSE_RESERVE_MS: Milliseconds = 800;

export interface ShutdownPlan {
  /** For how long new requests are still served, on closing connections. */
  readonly acceptingMs: Milliseconds;
  /** When what is in flight is given up, from the start of the stop. */
  readonly abortInFlightAfterMs: Milliseconds;
}

/** @param graceMs time from the request to stop until the process is killed */
export function planShutdown(graceMs: Milliseconds): ShutdownPlan {
  return {
    acceptingMs: Math.min(OUT_OF_ROTATION_MS, graceMs * MAX_ACCEPTING_SHARE),
    abortInFlightAfterMs: Math.max(0, graceMs - CLOSE_RESERVE_MS),
  };
}
