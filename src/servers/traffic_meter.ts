/** Counts the bytes that cross a server's sockets, headers included. */

import type {Server} from 'node:http';
import type {Socket} from 'node:net';

export class TrafficMeter {
  private readonly open = new Set<Socket>();
  private closedBytes = 0;

  constructor(server: Server) {
    server.on('connection', (socket: Socket) => {
      this.open.add(socket);
      socket.once('close', () => {
        this.open.delete(socket);
        this.closedBytes += bytesOf(socket);
      });
    });
  }

  /** Bytes in both directions since the start. */
  get bytes(): number {
    let sum = this.closedBytes;
    for (const socket of this.open) {
      sum += bytesOf(socket);
    }
    return sum;
  }
}

function bytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
