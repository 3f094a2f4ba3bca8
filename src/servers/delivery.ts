/** Observes whether callers are sent the whole of their responses. */

import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ErrorBoundary} from '../lifecycle/index.js';

/** How the sending of one response ended. */
export interface Delivery {
  /** Whether the network accepted its last byte. */
  readonly isComplete: boolean;
  /** Whether all of it had been written, so that only its sending was left. */
  readonly wasWritten: boolean;
  /** Undefined if no part of a response was written. */
  readonly status: number | undefined;
  /** Who closed the connection, if the response is incomplete. */
  readonly closedBy: 'host' | 'caller';
}

export function observeDelivery(
  response: ServerResponse,
  boundary: ErrorBoundary,
  onEnd: (delivery: Delivery) => void,
): void {
  const {socket} = response.req;
  let isComplete = false;
  // Node also emits `finish` when a connection is destroyed before all was sent.
  boundary.listenFirst(response, 'finish', () => {
    isComplete = !socket.destroyed;
  });
  boundary.listenOnce(response, 'close', () =>
    onEnd({
      isComplete,
      wasWritten: response.writableEnded,
      status: response.headersSent ? response.statusCode : undefined,
      closedBy: closerOf(socket),
    }),
  );
}

/** A caller closes a connection by a reset, which is an error here, or by its end. */
function closerOf({errored, readableEnded}: Socket): 'host' | 'caller' {
  return errored || readableEnded ? 'caller' : 'host';
}
