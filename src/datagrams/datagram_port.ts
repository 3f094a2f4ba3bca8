/**
 * Sends and receives MessagePack datagrams of all kinds between hosts, over one UDP
 * socket. Each may be lost, late or invalid.
 */

import type {RemoteInfo, Socket} from 'node:dgram';
import {createSocket} from 'node:dgram';
import {decode, encode} from '@msgpack/msgpack';
import type {Logger} from 'pino';
import type {ErrorReporter} from '../lifecycle/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import {parseAddress, parseDestination} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';

/** Datagrams of another version are rejected. */
const PROTOCOL_VERSION = 2;
/** Rejected datagrams are logged at this interval, in one line. */
const REJECTION_LOG_INTERVAL_MS: Milliseconds = 1_000;

/** @returns false for a message that no host of this version sends */
export type DatagramHandler = (from: string, body: unknown) => boolean;

export class DatagramPort {
  private readonly boundary = new ErrorBoundary(error =>
    this.reportError(error, {unit: 'datagram'}),
  );
  private readonly socket: Socket;
  private readonly handlers = new Map<string, DatagramHandler>();
  private readonly rejectionLogTimer: NodeJS.Timeout;
  private address: string | undefined;
  private refused = 0;

  constructor(
    private readonly logger: Logger,
    private readonly reportError: ErrorReporter,
  ) {
    const {boundary} = this;
    this.socket = createSocket({type: 'udp4', lookup: skipNameLookup});
    boundary.listen(
      this.socket,
      'message',
      (bytes: Buffer, origin: RemoteInfo) => this.receive(bytes, origin),
    );
    boundary.listen(this.socket, 'error', (error: Error) =>
      this.logSocketError(error),
    );
    this.rejectionLogTimer = setInterval(
      boundary.wrap(() => this.report()),
      REJECTION_LOG_INTERVAL_MS,
    );
    this.rejectionLogTimer.unref();
  }

  /** Registers the handler of one kind of datagrams. */
  handle(kind: string, handler: DatagramHandler): void {
    this.handlers.set(kind, handler);
  }

  /** @param address at which other hosts reach this one */
  bind(address: string): Promise<void> {
    const own = parseAddress(address);
    return new Promise(resolve => {
      this.socket.bind(own?.port, own?.ip, () => {
        this.address = address;
        resolve();
      });
      // Without datagrams a host finds its peers more slowly, but it serves.
      this.boundary.listenOnce(this.socket, 'error', () => resolve());
    });
  }

  send(kind: string, body: unknown, addresses: readonly string[]): void {
    if (this.address === undefined || addresses.length === 0) {
      return;
    }
    const bytes = encode([PROTOCOL_VERSION, kind, this.address, body], {
      ignoreUndefined: true,
    });
    for (const address of addresses) {
      const peer = parseDestination(address);
      if (peer) {
        this.socket.send(bytes, peer.port, peer.ip, error => {
          if (error) {
            this.logger.debug(
              {event: 'datagram', peer: address, error: error.message},
              'cannot send a datagram to a peer',
            );
          }
        });
      }
    }
  }

  close(): void {
    clearInterval(this.rejectionLogTimer);
    this.address = undefined;
    this.socket.close();
  }

  private receive(bytes: Buffer, origin: RemoteInfo): void {
    if (!this.dispatch(bytes, origin)) {
      this.refused += 1;
    }
  }

  private dispatch(bytes: Buffer, origin: RemoteInfo): boolean {
    const [version, kind, from, body] = decodeList(bytes);
    if (version !== PROTOCOL_VERSION || typeof from !== 'string') {
      return false;
    }
    // With a spoofed address, the answer would go to another host.
    const sender = parseAddress(from);
    if (sender?.ip !== origin.address || sender.port !== origin.port) {
      return false;
    }
    try {
      return this.handlers.get(String(kind))?.(from, body) ?? false;
    } catch (error) {
      // One malformed datagram must not end the process and all of its requests.
      this.reportError(error, {
        unit: 'datagram',
        peer: from,
        kind: String(kind),
      });
      return false;
    }
  }

  private report(): void {
    if (this.refused > 0) {
      this.logger.warn(
        {event: 'datagram', refused: this.refused},
        'rejected datagrams that no host of this version sends',
      );
      this.refused = 0;
    }
  }

  private logSocketError(error: Error): void {
    this.logger.warn(
      {event: 'datagram', error: error.message},
      'datagram socket failed: this host probes upstreams without its peers',
    );
  }
}

/**
 * Addresses of peers are numeric. A name lookup would cost a turn of the event loop for
 * each datagram.
 */
function skipNameLookup(
  address: string,
  _options: object,
  callback: (error: null, address: string, family: number) => void,
): void {
  callback(null, address, 4);
}

function decodeList(bytes: Uint8Array): readonly unknown[] {
  try {
    const fields = decode(bytes);
    return Array.isArray(fields) ? fields : [];
  } catch {
    // Not MessagePack: the caller counts it as rejected.
    return [];
  }
}
