/** A loopback TCP proxy with injectable faults. */

import type {Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import type {Milliseconds} from '../time/index.js';
import {sleep} from '../time/index.js';
import {mirrorEnd} from '../tunnels/index.js';

/** Fault to inject into connections through the proxy. */
export type LinkFault =
  | 'none'
  | 'delay'
  /** Open and new connections are reset. */
  | 'reset'
  /** New connections are reset; open ones live on. */
  | 'reset-new'
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
const RESETS_NEW: ReadonlySet<LinkFault> = new Set(['reset', 'reset-new']);

/** The fault of all connections, or of those from one address. */
class LinkState {
  private currentFault: LinkFault = 'none';
  private endPartition: () => void = () => undefined;
  /** Resolves when the partition ends; undefined without one. */
  partitionEnd: Promise<void> | undefined;

  get fault(): LinkFault {
    return this.currentFault;
  }

  set fault(fault: LinkFault) {
    this.currentFault = fault;
    if (fault === 'partition') {
      this.partitionEnd ??= new Promise(resolve => {
        this.endPartition = resolve;
      });
    } else {
      this.endPartition();
      this.partitionEnd = undefined;
    }
  }
}

export class FaultProxy {
  private readonly all = new LinkState();
  private readonly byClient = new Map<string, LinkState>();
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly target: {ip: string; port: number}) {
    this.server = createServer({allowHalfOpen: true}, client =>
      this.accept(client),
    );
  }

  get fault(): LinkFault {
    return this.all.fault;
  }

  set fault(fault: LinkFault) {
    this.all.fault = fault;
    if (fault === 'reset') {
      this.sockets.forEach(socket => socket.resetAndDestroy());
    }
  }

  /** Sets the fault of connections from one IP address, if there is none of all. */
  setClientFault(ip: string, fault: LinkFault): void {
    this.clientState(ip).fault = fault;
    if (fault === 'reset') {
      this.sockets.forEach(socket => {
        if (socket.remoteAddress === ip) {
          socket.resetAndDestroy();
        }
      });
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

  private clientState(ip: string): LinkState {
    const known = this.byClient.get(ip);
    if (known) {
      return known;
    }
    const state = new LinkState();
    this.byClient.set(ip, state);
    return state;
  }

  private accept(client: Socket): void {
    const own = this.clientState(client.remoteAddress ?? '');
    const state = (): LinkState => (this.all.fault === 'none' ? own : this.all);
    if (RESETS_NEW.has(state().fault)) {
      client.resetAndDestroy();
      return;
    }
    const destination = connect({
      host: this.target.ip,
      port: this.target.port,
      allowHalfOpen: true,
    });
    this.forward(client, destination, state, ['silent']);
    this.forward(destination, client, state, ['silent', 'one-way']);
  }

  /**
   * Forwards data of one side in order. Once a fault has dropped something,
   * this direction stays blocked: a TCP stream may stall for good, but never
   * skips bytes.
   */
  private forward(
    from: Socket,
    to: Socket,
    state: () => LinkState,
    droppingFaults: readonly LinkFault[],
  ): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    let silent = false;
    let wasReset = false;
    let tail = Promise.resolve();
    const enqueue = (action: () => void): void => {
      silent ||= droppingFaults.includes(state().fault);
      if (!silent) {
        const delayed = state().fault === 'delay';
        tail = tail
          .then(() => (delayed ? sleep(DELAY_MS) : undefined))
          .then(() => state().partitionEnd)
          .then(() => (wasReset ? undefined : action()));
      }
    };
    from.on('data', chunk => enqueue(() => to.write(chunk)));
    from.on('end', () => enqueue(() => mirrorEnd(from, to)));
    from.on('error', () => {
      wasReset = true;
      void (state().partitionEnd ?? Promise.resolve()).then(() =>
        to.resetAndDestroy(),
      );
    });
    from.on('close', () => {
      this.sockets.delete(from);
      enqueue(() => to.destroy());
    });
  }
}
