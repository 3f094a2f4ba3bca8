/** A loopback proxy whose connections can be disturbed from outside. */

import type {Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';

/** How connections through the proxy are disturbed. */
export type LinkFault =
  | 'none'
  | 'delay'
  /** Open connections are reset, new ones too. */
  | 'reset'
  /** What the far side sends is lost. */
  | 'one-way'
  /** Nothing passes in either direction; connections stay open. */
  | 'silent';

const DELAY_MS: Milliseconds = 150;

export class FaultProxy {
  private currentFault: LinkFault = 'none';
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly target: {ip: string; port: number}) {
    this.server = createServer({allowHalfOpen: true}, client =>
      this.accept(client),
    );
  }

  get fault(): LinkFault {
    return this.currentFault;
  }

  set fault(fault: LinkFault) {
    this.currentFault = fault;
    if (fault === 'reset') {
      this.sockets.forEach(socket => socket.resetAndDestroy());
    }
  }

  listen(): Promise<number> {
    return new Promise(resolve => {
      this.server.listen(0, '127.0.0.1', () => {
        const address = this.server.address();
        resolve(typeof address === 'object' ? (address?.port ?? 0) : 0);
      });
    });
  }

  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.sockets.forEach(socket => socket.destroy());
    });
  }

  private accept(client: Socket): void {
    if (this.currentFault === 'reset') {
      client.resetAndDestroy();
      return;
    }
    const destination = connect({
      host: this.target.ip,
      port: this.target.port,
      allowHalfOpen: true,
    });
    this.forward(client, destination, ['silent']);
    this.forward(destination, client, ['silent', 'one-way']);
  }

  /**
   * Passes on what one side sends, in order. Once a fault has swallowed
   * something, nothing passes any more: no byte of a TCP stream is ever
   * skipped, but a connection may stay silent for good.
   */
  private forward(
    from: Socket,
    to: Socket,
    droppingFaults: readonly LinkFault[],
  ): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    let silent = false;
    let tail = Promise.resolve();
    const enqueue = (action: () => void): void => {
      silent ||= droppingFaults.includes(this.currentFault);
      if (!silent) {
        const delayed = this.currentFault === 'delay';
        tail = tail
          .then(() => (delayed ? sleep(DELAY_MS) : undefined))
          .then(action);
      }
    };
    from.on('data', chunk => enqueue(() => to.write(chunk)));
    from.on('end', () => enqueue(() => mirrorEnd(from, to)));
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => {
      this.sockets.delete(from);
      enqueue(() => to.destroy());
    });
  }
}

/**
 * Ends one side as the other ended. A reset that comes with the last bytes is
 * reported as an orderly end; writing tells them apart, and an empty line
 * between messages means nothing.
 */
function mirrorEnd(from: Socket, to: Socket): void {
  from.write('\r\n', error => {
    if (error) {
      to.resetAndDestroy();
    } else {
      to.end();
    }
  });
}
