import type {Duplex} from 'node:stream';

/** A connection, or a stream over one. */
export interface ResettableStream extends Duplex {
  readonly resetAndDestroy: () => unknown;
}

/**
 * Resets a connection, so that bytes in transit are lost. Node can't reset one that it is
 * ending, and would keep its descriptor.
 */
export function resetSocket(socket: ResettableStream): void {
  if (socket.writableEnded && !socket.writableFinished) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
