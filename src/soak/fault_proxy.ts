/** A loopback TCP proxy with injectable faults, and with the properties of a link. */

import type {Server} from 'node:net';
import {Socket, createServer} from 'node:net';
import type {Milliseconds} from '../time/index.js';
import {sleep, systemClock} from '../time/index.js';
import type {Link} from './link.js';
import {Pacer, sizesOf} from './link.js';
import {
  createSocket,
  reset,
  setAcceptedSizes,
  wasReset,
} from './socket_options.js';

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

/** One direction of a connection through the proxy. */
interface Direction {
  readonly from: Socket;
  readonly to: Socket;
  readonly state: () => LinkState;
  readonly droppingFaults: readonly LinkFault[];
  readonly pacer: Pacer | undefined;
}

/** What the target has received of a client's connection. */
interface Delivery {
  pendingBytes: number;
  lastAt: Milliseconds;
}

export class FaultProxy {
  private readonly all = new LinkState();
  private readonly byClient = new Map<string, LinkState>();
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly toTarget: Pacer | undefined;
  private readonly toClient: Pacer | undefined;
  /** By the port of the client. */
  private readonly deliveries = new Map<number, Delivery>();

  /** @param link properties of all connections; without any, bytes are passed on at once */
  constructor(
    private readonly target: {readonly ip: string; readonly port: number},
    private readonly link?: Link,
  ) {
    this.server = createServer({allowHalfOpen: true}, client =>
      this.accept(client),
    );
    this.toTarget = link && new Pacer(link.toTarget, systemClock);
    this.toClient = link && new Pacer(link.toClient, systemClock);
  }

  get fault(): LinkFault {
    return this.all.fault;
  }

  set fault(fault: LinkFault) {
    this.all.fault = fault;
    if (fault === 'reset') {
      this.sockets.forEach(socket => reset(socket));
    }
  }

  /** Sets the fault of connections from one IP address, if there is none of all. */
  setClientFault(ip: string, fault: LinkFault): void {
    this.clientState(ip).fault = fault;
    if (fault === 'reset') {
      this.sockets.forEach(socket => {
        if (socket.remoteAddress === ip) {
          reset(socket);
        }
      });
    }
  }

  listen(): Promise<number> {
    return new Promise(resolve => {
      this.server.listen(0, '127.0.0.1', () => {
        const {link} = this;
        if (link) {
          const {segmentBytes, toTarget, toClient} = link;
          const sizes = sizesOf(segmentBytes, toTarget, toClient);
          setAcceptedSizes(this.server, sizes);
        }
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

  /**
   * When the target received the last byte of a client's newest connection; undefined
   * while bytes are under way.
   */
  deliveredAt(clientPort: number): Milliseconds | undefined {
    const delivery = this.deliveries.get(clientPort);
    return delivery?.pendingBytes === 0 ? delivery.lastAt : undefined;
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
      reset(client);
      return;
    }
    const destination = this.connect();
    const delivery: Delivery = {pendingBytes: 0, lastAt: -Infinity};
    this.deliveries.set(client.remotePort ?? 0, delivery);
    this.forward(
      {
        from: client,
        to: destination,
        state,
        droppingFaults: ['silent'],
        pacer: this.toTarget,
      },
      delivery,
    );
    this.forward({
      from: destination,
      to: client,
      state,
      droppingFaults: ['silent', 'one-way'],
      pacer: this.toClient,
    });
  }

  private connect(): Socket {
    const {link, target} = this;
    const socket = link
      ? createSocket(sizesOf(link.segmentBytes, link.toClient, link.toTarget))
      : new Socket({allowHalfOpen: true});
    return socket.connect(target.port, target.ip);
  }

  /**
   * Forwards data of one side in order. Once a fault has dropped something,
   * this direction stays blocked: a TCP stream may stall for good, but never
   * skips bytes.
   */
  private forward(
    {from, to, state, droppingFaults, pacer}: Direction,
    delivery: Delivery = {pendingBytes: 0, lastAt: -Infinity},
  ): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    const windowBytes = pacer?.direction.windowBytes ?? Infinity;
    let silent = false;
    let isLost = false;
    let hasEnded = false;
    let tail = Promise.resolve();
    // Node notices no reset of a connection that isn't read because its window is full.
    const lose = (): void => {
      if (!isLost && from.isPaused() && wasReset(from)) {
        isLost = true;
        reset(to);
      }
    };
    const enqueue = (action: () => void, bytes = 0): void => {
      silent ||= droppingFaults.includes(state().fault);
      if (!silent) {
        const delayed = state().fault === 'delay';
        const dueAt = pacer && systemClock.now() + pacer.send(bytes);
        tail = tail
          .then(() => (delayed ? sleep(DELAY_MS) : undefined))
          .then(() => (dueAt === undefined ? undefined : sleepUntil(dueAt)))
          .then(() => state().partitionEnd)
          .then(() => {
            lose();
            return isLost ? undefined : action();
          });
      }
    };
    const pass = (chunk: Buffer): void => {
      to.write(chunk, () => {
        delivery.pendingBytes -= chunk.length;
        delivery.lastAt = systemClock.now();
        if (delivery.pendingBytes < windowBytes) {
          from.resume();
        }
      });
    };
    from.on('data', chunk => {
      delivery.pendingBytes += chunk.length;
      if (delivery.pendingBytes >= windowBytes) {
        from.pause();
      }
      enqueue(() => pass(chunk), chunk.length);
    });
    from.on('end', () => {
      hasEnded = true;
      enqueue(() => (wasReset(from) ? reset(to) : to.end()));
    });
    from.on('error', () => {
      isLost = true;
      void sleep(pacer?.direction.delayMs ?? 0)
        .then(() => state().partitionEnd)
        .then(() => reset(to));
    });
    from.on('close', () => {
      this.sockets.delete(from);
      // After an orderly end, the other socket closes once its data is written.
      if (!hasEnded || !from.writableFinished) {
        enqueue(() => to.destroy());
      }
    });
  }
}

async function sleepUntil(at: Milliseconds): Promise<void> {
  const remainingMs = at - systemClock.now();
  if (remainingMs > 0) {
    await sleep(remainingMs);
  }
}
