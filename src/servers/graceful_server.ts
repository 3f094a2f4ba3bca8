/** An HTTP server that closes its connections without cutting responses. */

import type {IncomingMessage, ServerOptions, ServerResponse} from 'node:http';
import {Server} from 'node:http';
import type {Socket} from 'node:net';
import {PARSED_HEADER_COUNT} from '../http/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import type {Milliseconds} from '../time/index.js';
import type {IncomingCall} from './types.js';

/** Time for the other side to close a connection that this one has ended. */
const LINGER_MS: Milliseconds = 1_000;

/** @param request in whose handling the error occurred; undefined if in none */
export type RequestErrorReporter = (
  error: unknown,
  request?: IncomingMessage,
) => void;

export class GracefulServer extends Server {
  override maxHeadersCount: number | null = PARSED_HEADER_COUNT;
  /** Responses of each open connection whose last byte hasn't been sent. */
  private readonly pending = new Map<Socket, Set<ServerResponse>>();

  private readonly boundary: ErrorBoundary;

  constructor(
    options: ServerOptions,
    private readonly reportError: RequestErrorReporter,
    private readonly handle: (call: IncomingCall) => void,
  ) {
    super(options, (request, response) => this.accept(request, response));
    const boundary = new ErrorBoundary(error => reportError(error));
    this.boundary = boundary;
    boundary.listen(this, 'connection', (socket: Socket) => {
      this.pending.set(socket, new Set());
      boundary.listenOnce(socket, 'close', () => this.forget(socket));
    });
  }

  /** An error in the handling of a request ends it, and no other. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    const boundary = new ErrorBoundary(error => {
      this.reportError(error, request);
      response.destroy();
    });
    // Without a listener, an error such as a write after the end would end the process.
    boundary.listen(response, 'error', () => response.destroy());
    boundary.run(() => this.handle({request, response, boundary}));
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
   * Closes connections on which nothing is owed. For Node, whose method this replaces
   * also where `close` calls it, a response is complete once it was handed over, and what a
   * slow connection hasn't taken yet would be lost.
   */
  override closeIdleConnections(): void {
    this.pending.forEach((owed, socket) => {
      if (owed.size === 0 && !socket.writableEnded) {
        socket.end();
        setTimeout(
          this.boundary.wrap(() => socket.destroy()),
          LINGER_MS,
        ).unref();
      }
    });
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
