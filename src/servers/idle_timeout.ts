/** Closes idle connections only once what has arrived on them is read. */

import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {ErrorBoundary} from '../lifecycle/index.js';
import type {Milliseconds} from '../time/index.js';
import {nextPoll} from '../time/index.js';

/** Closes a connection without bytes in either direction for this time. */
export function closeWhenIdle(
  socket: Socket,
  timeoutMs: Milliseconds,
  boundary: ErrorBoundary,
): void {
  socket.setTimeout(timeoutMs);
  boundary.listen(socket, 'timeout', () => closeUnlessReadable(socket));
}

/** Makes the idle timeout of a server read what has arrived. */
export function readBeforeIdleTimeout(
  server: Server,
  boundary: ErrorBoundary,
): void {
  boundary.listen(server, 'timeout', closeUnlessReadable);
}

async function closeUnlessReadable(socket: Socket): Promise<void> {
  const {bytesRead} = socket;
  await nextPoll();
  if (socket.bytesRead === bytesRead) {
    socket.destroy();
  }
}
