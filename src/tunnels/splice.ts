/** Joins two connections so that each sees how the other ends. */

import type {Socket} from 'node:net';
import type {ErrorBoundary} from '../lifecycle/index.js';
import {resetSocket} from '../lifecycle/index.js';

/** An empty line, which HTTP/1.1 ignores between messages. */
const EMPTY_LINE = '\r\n';

/**
 * Passes bytes on in both directions, in bounded memory. Resets are passed on as resets:
 * they mark truncated responses and abandoned requests.
 */
export function splice(
  caller: Socket,
  upstream: Socket,
  boundary: ErrorBoundary,
): void {
  // Callers don't half-close: an upstream that is out of reach must not keep the tunnel.
  forward(caller, upstream, boundary, () => {
    upstream.end();
    caller.end();
  });
  forward(upstream, caller, boundary, () => mirrorEnd(upstream, caller));
}

/**
 * Ends one side as the other ended. Node reports a reset that arrives with the last
 * bytes as an orderly end; only a write fails after a reset.
 */
export function mirrorEnd(from: Socket, to: Socket): void {
  from.write(EMPTY_LINE, error => {
    if (error) {
      resetSocket(to);
    } else {
      to.end();
    }
  });
}

function forward(
  from: Socket,
  to: Socket,
  boundary: ErrorBoundary,
  onEnd: () => void,
): void {
  from.pipe(to, {end: false});
  boundary.listen(from, 'end', onEnd);
  boundary.listen(from, 'error', () => resetSocket(to));
  boundary.listen(from, 'close', () => to.destroy());
}
