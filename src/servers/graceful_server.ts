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

/** Time for the rest of a request's head to arrive once its connection is to close. */
const MAX_HEAD_WAIT_MS: Milliseconds = 1_000;

interface OpenConnection {
  /** Responses whose last byte hasn't been sent. */
  readonly owed: Set<ServerResponse>;
  /** Bytes read from it when its last request had ended. */
  consumedBytes: number;
  /** When a connection to be closed was first found with the beginning of a request. */
  waitingSince?: Milliseconds;
}

export class GracefulServer extends Server {
  override maxHeadersCount: number | null = PARSED_HEADER_COUNT;
  private readonly openConnections = new Map<Socket, OpenConnection>();
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
      this.openConnections.set(socket, {owed: new Set(), consumedBytes: 0});
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
    request: IncomingMessage,
    response: ServerResponse,
  ): readonly ServerResponse[] {
    const {socket} = request;
    const connection = this.openConnections.get(socket);
    if (!connection) {
      return [];
    }
    const {owed} = connection;
    const earlier = [...owed];
    const noteConsumed = (): void => {
      connection.consumedBytes = socket.bytesRead;
    };
    owed.add(response);
    this.boundary.listenOnce(request, 'close', noteConsumed);
    this.boundary.listenOnce(response, 'close', () => {
      owed.delete(response);
      noteConsumed();
    });
    return earlier;
  }

  /** Node reports only to the first of several responses that a connection has closed. */
  private forget(socket: Socket): void {
    const {owed = []} = this.openConnections.get(socket) ?? {};
    this.openConnections.delete(socket);
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
    this.openConnections.forEach((connection, socket) => {
      if (socket.writableEnded) {
        return;
      }
      if (connection.owed.size > 0 || isArriving(connection, socket)) {
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
 * Whether the beginning of a request has arrived on a connection that is to close, or the
 * rest of a body that was answered early still does.
 */
function isArriving(connection: OpenConnection, {bytesRead}: Socket): boolean {
  if (bytesRead === connection.consumedBytes) {
    return false;
  }
  const now = performance.now();
  connection.waitingSince ??= now;
  return now - connection.waitingSince < MAX_HEAD_WAIT_MS;
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

/**
 * Makes a response the last one on its connection, in place of an earlier one that
 * hasn't begun.
 */
export function closeAfter(
  response: ServerResponse,
  earlier: readonly ServerResponse[],
): void {
  earlier
    .filter(({headersSent}) => !headersSent)
    .forEach(one => one.removeHeader('connection'));
  response.setHeader('connection', 'close');
}
