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
/** Share of the time after which upstreams are no longer waited for. */
const WAITING_SHARE = 5 / 6;
/** Share of the time for sending responses; a slow host needs the rest to close. */
const SENDING_SHARE = 0.9;
/** Upstreams may take this many times as long as usual. */
const WORK_MARGIN = 2;
/** Requests in a tunnel have at least the rest of the time until connections are closed. */
const MAX_TUNNELS_SHARE = 0.5;

export interface ShutdownPlan {
  /** How long new requests are accepted, on connections that are being closed. */
  readonly acceptingMs: Milliseconds;
  /** How long tunnels are opened for hosts that find no other. */
  readonly openingTunnelsMs: Milliseconds;
  /** When requests without a response get one of this host, from the start of the shutdown. */
  readonly respondAfterMs: Milliseconds;
  /** When connections are closed on which responses are still being sent. */
  readonly closeAfterMs: Milliseconds;
}

/**
 * Time for which a request may still be sent to an upstream, so that its response comes
 * before the host responds itself.
 *
 * @param leftMs until the host responds
 * @param workMs that such requests usually take
 */
export function sendingTimeLeft(
  leftMs: Milliseconds,
  workMs: Milliseconds,
): Milliseconds {
  return Math.max(0, leftMs - WORK_MARGIN * workMs);
}

/** @param graceMs time from the stop signal until the process is killed */
export function planShutdown(graceMs: Milliseconds): ShutdownPlan {
  const acceptingMs = Math.min(
    OUT_OF_ROTATION_MS,
    graceMs * MAX_ACCEPTING_SHARE,
  );
  const closeAfterMs = graceMs * SENDING_SHARE;
  return {
    acceptingMs,
    openingTunnelsMs: Math.min(acceptingMs, closeAfterMs * MAX_TUNNELS_SHARE),
    respondAfterMs: graceMs * WAITING_SHARE,
    closeAfterMs,
  };
}
