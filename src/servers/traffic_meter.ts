/** Counts the bytes that cross a server's sockets, headers included. */

import type {Server} from 'node:http';
import type {Socket} from 'node:net';

export class TrafficMeter {
  private readonly openSockets = new Set<Socket>();
  private closedBytes = 0;

  constructor(server: Server) {
    server.on('connection', (socket: Socket) => {
      this.openSockets.add(socket);
      socket.once('close', () => {
        this.openSockets.delete(socket);
        this.closedBytes += bytesOf(socket);
      });
    });
  }

  /** Bytes in both directions since the start. */
  get bytes(): number {
    let sum = this.closedBytes;
    for (const socket of this.openSockets) {
      sum += bytesOf(socket);
    }
    return sum;
  }
}

function bytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
