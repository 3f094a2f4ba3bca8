/** A loopback TCP proxy with injectable faults. */

import type {Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';

/** Fault to inject into connections through the proxy. */
export type LinkFault =
  | 'none'
  | 'delay'
  /** Open and new connections are reset. */
  | 'reset'
  /** Data from the destination is dropped. */
  | 'one-way'
  /** Data is dropped in both directions; connections stay open. */
  | 'silent'
  /**
   * Data is held back in both directions until the fault ends. What a sender has reset
   * meanwhile is lost.
   */
  | 'partition';

const DELAY_MS: Milliseconds = 150;

export class FaultProxy {
  private currentFault: LinkFault = 'none';
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  /** Resolves when the partition ends; undefined without one. */
  private partitionEnd: Promise<void> | undefined;
  private endPartition: () => void = () => undefined;

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
    if (fault !== 'partition') {
      this.endPartition();
      this.partitionEnd = undefined;
    } else {
      this.partitionEnd ??= new Promise(resolve => {
        this.endPartition = resolve;
      });
    }
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
   * Forwards data of one side in order. Once a fault has dropped something,
   * this direction stays blocked: a TCP stream may stall for good, but never
   * skips bytes.
   */
  private forward(
    from: Socket,
    to: Socket,
    droppingFaults: readonly LinkFault[],
  ): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    let silent = false;
    let wasReset = false;
    let tail = Promise.resolve();
    const enqueue = (action: () => void): void => {
      silent ||= droppingFaults.includes(this.currentFault);
      if (!silent) {
        const delayed = this.currentFault === 'delay';
        tail = tail
          .then(() => (delayed ? sleep(DELAY_MS) : undefined))
          .then(() => this.partitionEnd)
          .then(() => (wasReset ? undefined : action()));
      }
    };
    from.on('data', chunk => enqueue(() => to.write(chunk)));
    from.on('end', () => enqueue(() => mirrorEnd(from, to)));
    from.on('error', () => {
      wasReset = true;
      void (this.partitionEnd ?? Promise.resolve()).then(() =>
        to.resetAndDestroy(),
      );
    });
    from.on('close', () => {
      this.sockets.delete(from);
      enqueue(() => to.destroy());
    });
  }
}

/**
 * Ends one side as the other ended. Node reports a reset that arrives with the last
 * bytes as an orderly end; only a write fails after a reset. It sends an empty line,
 * which HTTP ignores between messages.
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
