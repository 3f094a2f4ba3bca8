import type {Socket} from 'node:net';

/**
 * Resets a connection, so that bytes in transit are lost. Node can't reset one that it is
 * ending, and would keep its descriptor.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded && !socket.writableFinished) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
