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
import {nextPoll, systemClock} from '../time/index.js';
import type {RequestErrorReporter} from './contained_listener.js';
import {containedListener} from './contained_listener.js';
import {readBeforeIdleTimeout} from './idle_timeout.js';
import {ConnectionAdmission} from './connection_admission.js';
import {OpenConnection} from './open_connection.js';
import {TurnQueue} from './turn_queue.js';
import type {CallerCall, ConnectionLimits} from './types.js';

/** Callers that connect again after each refusal must not delay the close. */
const MAX_LATE_CONNECTIONS = 512;
const SWEEP_INTERVAL_MS: Milliseconds = 250;
/** For a server whose machine isn't known. */
const DEFAULT_LIMITS: ConnectionLimits = {
  maxConnections: 10_000,
  maxBytes: 256 * 1024 * 1024,
  onExcess: () => undefined,
};
/** Code of the parser's error when a caller ends its connection within a request. */
const CALLER_LEFT = 'HPE_INVALID_EOF_STATE';

export class GracefulServer extends Server {
  override maxHeadersCount: number | null = PARSED_HEADER_COUNT;
  private readonly openConnections: Map<Socket, OpenConnection>;
  private acceptedCount = 0;
  private readonly admission: ConnectionAdmission;
  private readonly turns: TurnQueue;

  /** Handles a request that Node passes on by another event than `request`. */
  readonly accept: RequestListener;
  private readonly boundary: ErrorBoundary;

  constructor(
    options: ServerOptions,
    reportError: RequestErrorReporter,
    handle: (call: CallerCall) => void,
    limits: ConnectionLimits = DEFAULT_LIMITS,
  ) {
    const openConnections = new Map<Socket, OpenConnection>();
    const accept = containedListener(reportError, call => {
      const connection = openConnections.get(call.request.socket);
      // A request whose connection has closed meanwhile is owed nothing.
      if (connection) {
        handle({...call, ...connection.callParts});
      }
    });
    super(options, accept);
    this.openConnections = openConnections;
    this.accept = accept;
    const boundary = new ErrorBoundary(error => reportError(error));
    this.boundary = boundary;
    readBeforeIdleTimeout(this, boundary);
    this.admission = new ConnectionAdmission(limits, systemClock);
    this.turns = new TurnQueue(boundary);
    this.sweepWhileListening();
    boundary.listen(this, 'connection', (socket: Socket) =>
      this.addConnection(socket),
    );
  }

  private sweepWhileListening(): void {
    const {boundary, admission} = this;
    const sweep = boundary.wrap(() => admission.noteAll(this.keepAliveTimeout));
    boundary.listen(this, 'listening', () => {
      const timer = setInterval(sweep, SWEEP_INTERVAL_MS);
      timer.unref();
      boundary.listenOnce(this, 'close', () => clearInterval(timer));
    });
  }

  private addConnection(socket: Socket): void {
    this.acceptedCount += 1;
    const {boundary, admission, openConnections} = this;
    const connection = new OpenConnection(
      socket,
      boundary,
      admission,
      this.turns,
    );
    openConnections.set(socket, connection);
    // Node closes a connection by this method after a response that is its last.
    socket.destroySoon = () => connection.end();
    boundary.listenOnce(socket, 'close', () => this.forget(socket));
    admission.add(connection);
  }

  /** Connections that aren't closed yet, by this side or their caller. */
  get openCount(): number {
    return this.openConnections.size;
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
   * for one of these responses. A caller that ends its connection is owed nothing more than
   * what was handed over, as it is for Node after a whole request.
   */
  listenToFaults(
    listener: (error: NodeJS.ErrnoException, socket: Socket) => void,
  ): void {
    const faulty = new WeakSet<Socket>();
    this.listenTo(
      'clientError',
      (error: NodeJS.ErrnoException, socket: Socket) => {
        if (error.code === CALLER_LEFT && this.owedOn(socket).length > 0) {
          this.openConnections.get(socket)?.end();
        } else if (!faulty.has(socket)) {
          faulty.add(socket);
          this.whenSettled(socket, () => {
            // One that has ended is being closed; its last response may be on its way.
            if (!socket.writableEnded) {
              listener(error, socket);
              this.openConnections.get(socket)?.end();
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
    const response = this.owedOn(socket).find(
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
    request: IncomingMessage,
    response: ServerResponse,
  ): readonly ServerResponse[] {
    const earlier = this.owedOn(request.socket);
    this.openConnections.get(request.socket)?.noteRequest(request, response);
    return earlier;
  }

  private owedOn(socket: Socket): readonly ServerResponse[] {
    return this.openConnections.get(socket)?.owedResponses ?? [];
  }

  /** Node reports only to the first of several responses that a connection has closed. */
  private forget(socket: Socket): void {
    const owed = this.owedOn(socket);
    this.openConnections.delete(socket);
    owed
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
   * Ends connections on which nothing is owed. For Node, whose method this replaces also where
   * `close` calls it, a response is complete once it was handed over, and what a slow connection
   * hasn't taken yet would be lost.
   */
  override closeIdleConnections(): void {
    this.boundary.run(() => this.endIdleConnections());
  }

  /** Ends connections on which nothing is owed once what has arrived is read. */
  async endIdleConnections(): Promise<void> {
    await nextPoll();
    this.openConnections.forEach(connection => connection.endIfIdle());
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
