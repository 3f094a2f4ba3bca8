/** An HTTP server that closes its connections without cutting responses. */

import type {
  IncomingMessage,
  RequestListener,
  ServerOptions,
  ServerResponse,
} from 'node:http';
import {Server} from 'node:http';
import type {Socket} from 'node:net';
import {PARSED_HEADER_COUNT} from '../http/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import type {Milliseconds} from '../time/index.js';
import type {RequestErrorReporter} from './contained_listener.js';
import {containedListener} from './contained_listener.js';
import type {IncomingCall} from './types.js';

/** Time for a caller to close a connection that the server has ended. */
const LINGER_MS: Milliseconds = 1_000;
/** Bytes of a response that the slowest callers receive in a millisecond. */
const SLOWEST_BYTES_PER_MS = 100;

export class GracefulServer extends Server {
  override maxHeadersCount: number | null = PARSED_HEADER_COUNT;
  /** Responses of each open connection whose last byte hasn't been sent. */
  private readonly pending = new Map<Socket, Set<ServerResponse>>();
  /** Bytes that each connection had carried before its last request. */
  private readonly bytesBefore = new WeakMap<Socket, number>();
  /** Connections that this server has ended, and will close. */
  private readonly ended = new WeakSet<Socket>();

  /** Handles a request that Node passes on by another event than `request`. */
  readonly accept: RequestListener;
  private readonly boundary: ErrorBoundary;

  constructor(
    options: ServerOptions,
    reportError: RequestErrorReporter,
    handle: (call: IncomingCall) => void,
  ) {
    const accept = containedListener(reportError, handle);
    super(options, accept);
    this.accept = accept;
    const boundary = new ErrorBoundary(error => reportError(error));
    this.boundary = boundary;
    boundary.listen(this, 'connection', (socket: Socket) => {
      this.pending.set(socket, new Set());
      // Node closes a connection by this method after a response that is its last.
      socket.destroySoon = () => this.endConnection(socket);
      boundary.listenOnce(socket, 'close', () => this.forget(socket));
    });
  }

  /** Connections that aren't closed yet, by this side or their caller. */
  get openCount(): number {
    return this.pending.size;
  }

  /** Closes idle connections at an interval; returns a function that stops this. */
  startIdleSweep(intervalMs: Milliseconds): () => void {
    const sweep = this.boundary.wrap(() => this.closeIdleConnections());
    const timer = setInterval(sweep, intervalMs);
    return () => clearInterval(timer);
  }

  /** Listens to an event that belongs to no request. */
  listenTo(event: string, listener: (...values: never[]) => unknown): void {
    this.boundary.listen(this, event, listener);
  }

  /**
   * Passes on faults of connections, such as bytes that are no request, once the responses to
   * the requests before them have been sent. A caller would take an error that is sent earlier
   * for one of these responses.
   */
  listenToFaults(
    listener: (error: NodeJS.ErrnoException, socket: Socket) => void,
  ): void {
    const faulty = new WeakSet<Socket>();
    this.listenTo(
      'clientError',
      (error: NodeJS.ErrnoException, socket: Socket) => {
        if (!faulty.has(socket)) {
          faulty.add(socket);
          this.whenSettled(socket, () => {
            // One that has ended is being closed; its last response may be on its way.
            if (!socket.writableEnded) {
              listener(error, socket);
              this.endConnection(socket);
            }
          });
        }
      },
    );
  }

  /**
   * Calls back when nothing is owed on a connection that can be written to. A request whose
   * own body is faulty is owed nothing: it would wait for the rest of that body.
   */
  private whenSettled(socket: Socket, callback: () => void): void {
    const response = [...(this.pending.get(socket) ?? [])].find(
      ({req, headersSent}) => req.complete || headersSent,
    );
    if (!response || !socket.writable) {
      callback();
      return;
    }
    this.boundary.listenOnce(response, 'close', () =>
      this.whenSettled(socket, callback),
    );
  }

  /**
   * Notes that a response is owed until its last byte is sent.
   *
   * @returns earlier responses that are owed on the same connection
   */
  noteRequest(
    {socket}: IncomingMessage,
    response: ServerResponse,
  ): readonly ServerResponse[] {
    const owed = this.pending.get(socket);
    const earlier = [...(owed ?? [])];
    owed?.add(response);
    this.bytesBefore.set(socket, socket.bytesWritten);
    this.boundary.listenOnce(response, 'close', () => owed?.delete(response));
    return earlier;
  }

  /** Node reports only to the first of several responses that a connection has closed. */
  private forget(socket: Socket): void {
    const owed = this.pending.get(socket) ?? [];
    this.pending.delete(socket);
    [...owed]
      .filter(response => response.socket === null)
      .forEach(response => response.emit('close'));
  }

  /**
   * Closes connections on which nothing is owed. For Node, whose method this replaces
   * also where `close` calls it, a response is complete once it was handed over, and what a
   * slow connection hasn't taken yet would be lost.
   */
  override closeIdleConnections(): void {
    this.pending.forEach((owed, socket) => {
      if (owed.size === 0) {
        this.endConnection(socket);
      }
    });
  }

  /**
   * Ends a connection, and closes it once its caller has received all and does the same.
   * Closed earlier, it would be reset by whatever the caller still sends, or by the end of
   * the machine, and the caller would lose what was still on its way.
   */
  private endConnection(socket: Socket): void {
    if (socket.destroyed || this.ended.has(socket)) {
      return;
    }
    this.ended.add(socket);
    socket.end();
    const bytes = socket.bytesWritten - (this.bytesBefore.get(socket) ?? 0);
    const timer = setTimeout(
      this.boundary.wrap(() => socket.destroy()),
      LINGER_MS + bytes / SLOWEST_BYTES_PER_MS,
    );
    timer.unref();
    this.boundary.listenOnce(socket, 'close', () => clearTimeout(timer));
  }
}

/**
 * Whether a connection ends before the response to a request could be sent on it. The
 * request must not be passed on then: its caller may send it again.
 *
 * @param earlier responses that are owed on the same connection
 */
export function isClosing(
  {socket}: IncomingMessage,
  earlier: readonly ServerResponse[],
): boolean {
  return (
    socket.writableEnded ||
    earlier.some(one => one.headersSent && one.hasHeader('connection'))
  );
}
