/**
 * Plans a graceful shutdown within the time that the platform grants.
 *
 * A host that closes its connections at once breaks requests that are on their way to
 * it, and one that accepts new requests until the end can't finish them.
 */

import type {Milliseconds} from '../../time/index.js';

/**
 * The platform takes a host out of rotation after two failed readiness checks, one per
 * second; until then new connections still arrive.
 */
const OUT_OF_ROTATION_MS: Milliseconds = 2_600;
/** New requests are accepted for at most this share of the time. */
const MAX_ACCEPTING_SHARE = 0.5;
/** Reserved for closing before the process is killed; a slow host needs it. */
const CLOSE_RESERVE_MS: Milliseconds = 800;

export interface ShutdownPlan {
  /** How long new requests are accepted, on connections that are being closed. */
  readonly acceptingMs: Milliseconds;
  /** When requests in flight are aborted, from the start of the shutdown. */
  readonly abortInFlightAfterMs: Milliseconds;
}

/** @param graceMs time from the stop signal until the process is killed */
export function planShutdown(graceMs: Milliseconds): ShutdownPlan {
  return {
    acceptingMs: Math.min(OUT_OF_ROTATION_MS, graceMs * MAX_ACCEPTING_SHARE),
    abortInFlightAfterMs: Math.max(0, graceMs - CLOSE_RESERVE_MS),
  };
}
