/** Joins two connections so that each sees how the other ends. */

import type {Socket} from 'node:net';
import type {Writable} from 'node:stream';
import type {ErrorBoundary} from '../lifecycle/index.js';
import {resetSocket} from '../lifecycle/index.js';
import type {Milliseconds} from '../time/index.js';
import {sleep, systemClock} from '../time/index.js';
import {ROUND_TRIP_MS} from './constants.js';
import {FrameEncoder} from './framing.js';

/** An empty line, which HTTP/1.1 ignores between messages. */
const EMPTY_LINE = '\r\n';

/**
 * Passes bytes on in both directions, in bounded memory. Resets are passed on as resets:
 * they mark truncated responses and abandoned requests.
 *
 * @param isFramed whether the caller is told of the end of the upstream's connection
 */
export function splice(
  caller: Socket,
  upstream: Socket,
  boundary: ErrorBoundary,
  isFramed: boolean,
): void {
  // Callers don't half-close: an upstream that is out of reach must not keep the tunnel.
  forward(caller, upstream, boundary, () => {
    upstream.end();
    caller.end();
  });
  let sentAt: Milliseconds = -Infinity;
  let hasEnded = false;
  let wasCut = false;
  boundary.listen(caller, 'data', () => {
    sentAt = systemClock.now();
    wasCut ||= hasEnded;
  });
  const output = isFramed ? frame(caller) : caller;
  const endCaller = async (): Promise<void> => {
    hasEnded = true;
    await sleep(Math.max(0, sentAt + ROUND_TRIP_MS - systemClock.now()));
    const isCut = wasCut || upstream.writableLength > 0;
    mirrorEnd(upstream, caller, output, isCut);
  };
  forward(upstream, caller, boundary, endCaller, output);
}

function frame(caller: Socket): Writable {
  const encoder = new FrameEncoder();
  encoder.pipe(caller);
  return encoder;
}

/**
 * Ends one side as the other ended. Node reports a reset that arrives with the last bytes as
 * an orderly end; only a write fails after a reset. An upstream that closes its connection
 * while a part of the request is on its way ends it in order, and resets it once that arrives.
 *
 * @param output through which the other side is written to
 * @param wasCut whether a part of the request was still to come
 */
function mirrorEnd(
  from: Socket,
  to: Socket,
  output: Writable,
  wasCut: boolean,
): void {
  from.write(EMPTY_LINE, error => {
    if (error || wasCut) {
      resetSocket(to);
    } else {
      output.end();
    }
  });
}

function forward(
  from: Socket,
  to: Socket,
  boundary: ErrorBoundary,
  onEnd: () => unknown,
  output: Writable = to,
): void {
  from.pipe(output, {end: false});
  boundary.listen(from, 'end', onEnd);
  boundary.listen(from, 'error', () => resetSocket(to));
  boundary.listen(from, 'close', () => to.destroy());
}
