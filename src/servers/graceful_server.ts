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
import {nextPoll} from '../time/index.js';
import type {RequestErrorReporter} from './contained_listener.js';
import {containedListener} from './contained_listener.js';
import {readBeforeIdleTimeout} from './idle_timeout.js';
import type {IncomingCall} from './types.js';

/** Time for the other side to close a connection that this one has ended. */
const LINGER_MS: Milliseconds = 1_000;
/** Callers that connect again after each refusal must not delay the close. */
const MAX_LATE_CONNECTIONS = 512;

export class GracefulServer extends Server {
  override maxHeadersCount: number | null = PARSED_HEADER_COUNT;
  /** Responses of each open connection whose last byte hasn't been sent. */
  private readonly pending = new Map<Socket, Set<ServerResponse>>();
  private acceptedCount = 0;

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
    readBeforeIdleTimeout(this, boundary);
    boundary.listen(this, 'connection', (socket: Socket) => {
      this.acceptedCount += 1;
      this.pending.set(socket, new Set());
      boundary.listenOnce(socket, 'close', () => this.forget(socket));
    });
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
   * Accepts the connections that wait, before `close`: the system resets those that
   * weren't accepted, with the requests that were sent on them.
   */
  async acceptWaiting(): Promise<void> {
    const last = this.acceptedCount + MAX_LATE_CONNECTIONS;
    let count: number;
    do {
      count = this.acceptedCount;
      // Node accepts one connection each time that it polls.
      await nextPoll();
    } while (this.acceptedCount > count && this.acceptedCount < last);
  }

  /**
   * Closes connections on which nothing is owed. For Node, whose method this replaces
   * also where `close` calls it, a response is complete once it was handed over, and what a
   * slow connection hasn't taken yet would be lost.
   */
  override closeIdleConnections(): void {
    this.boundary.run(() => this.endIdleConnections());
  }

  /**
   * Ends connections on which nothing is owed once what has arrived is read.
   *
   * @returns whether all connections have ended
   */
  async endIdleConnections(): Promise<boolean> {
    await nextPoll();
    let hasEndedAll = true;
    this.pending.forEach((owed, socket) => {
      if (socket.writableEnded) {
        return;
      }
      if (owed.size > 0) {
        hasEndedAll = false;
        return;
      }
      socket.end();
      setTimeout(
        this.boundary.wrap(() => socket.destroy()),
        LINGER_MS,
      ).unref();
    });
    return hasEndedAll;
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
