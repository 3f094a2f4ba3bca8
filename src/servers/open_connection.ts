/** A connection of a caller: what is owed on it, and how it is closed. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ErrorBoundary} from '../lifecycle/index.js';
import type {Milliseconds} from '../time/index.js';
import {systemClock} from '../time/index.js';
import {ConnectionInput} from './connection_input.js';

/** Time for a caller to close a connection that has ended. */
const LINGER_MS: Milliseconds = 1_000;
/** Bytes of a response that the slowest callers receive in a millisecond. */
const SLOWEST_BYTES_PER_MS = 100;
/** The system holds no more bytes of a connection than this, by its usual limits. */
const MAX_HELD_BYTES = 4 * 1024 * 1024;
/** Time for the rest of a request's head to arrive once its connection is to close. */
const MAX_HEAD_WAIT_MS: Milliseconds = 1_000;

/** Requests of a connection that are served at the same time; further ones wait unparsed. */
const MAX_REQUESTS = 16;
/** Requests that are read, and dropped, on a connection that has ended. */
const MAX_LATE_REQUESTS = 100;

export class OpenConnection {
  /** Responses whose last byte hasn't been sent. */
  private readonly owed = new Set<ServerResponse>();
  /** Bytes read when the last request had ended. */
  private consumedBytes = 0;
  /** Bytes written when the last response had been sent. */
  private sentBytes = 0;
  /** When the slowest callers have received all that was sent. */
  private receivedAt: Milliseconds = 0;
  /** When the beginning of a request was first found on a connection to be closed. */
  private waitingSince: Milliseconds | undefined;
  private isEnded = false;
  /** The last request that was parsed. */
  private lastRequest: IncomingMessage | undefined;
  readonly input: ConnectionInput;

  constructor(
    readonly socket: Socket,
    private readonly boundary: ErrorBoundary,
  ) {
    this.input = new ConnectionInput(socket, boundary, {
      canParse: () => this.canParse,
      isInBody: () => this.isInBody,
      onSlice: () => undefined,
      onParsed: () => undefined,
    });
  }

  get owedResponses(): readonly ServerResponse[] {
    return [...this.owed];
  }

  noteRequest(request: IncomingMessage, response: ServerResponse): void {
    const noteConsumed = (): void => {
      this.consumedBytes = this.socket.bytesRead - this.input.unparsedBytes;
    };
    this.lastRequest = request;
    this.owed.add(response);
    this.boundary.listenOnce(request, 'close', noteConsumed);
    this.boundary.listenOnce(response, 'close', () => {
      this.owed.delete(response);
      noteConsumed();
      this.noteSent();
      this.input.continue();
    });
  }

  private get canParse(): boolean {
    const maxRequests = this.isEnded ? MAX_LATE_REQUESTS : MAX_REQUESTS;
    return this.isInBody || this.owed.size < maxRequests;
  }

  private get isInBody(): boolean {
    return this.lastRequest?.complete === false;
  }

  /** Ends it unless a response is owed on it, or the beginning of a request has arrived. */
  endIfIdle(): void {
    if (this.owed.size === 0 && !this.isArriving) {
      this.end();
    }
  }

  /**
   * Ends a connection, and closes it once its caller has received all and does the same.
   * Closed earlier, it would be reset by whatever the caller still sends, or by the end of
   * the machine, and the caller would lose what was still on its way.
   */
  end(): void {
    const {socket} = this;
    if (socket.destroyed || this.isEnded) {
      return;
    }
    this.isEnded = true;
    socket.end();
    this.noteSent();
    const leftMs = Math.max(0, this.receivedAt - systemClock.now());
    const timer = setTimeout(
      this.boundary.wrap(() => socket.destroy()),
      LINGER_MS + leftMs,
    );
    timer.unref();
    this.boundary.listenOnce(socket, 'close', () => clearTimeout(timer));
  }

  /** A response may still be on its way when the next one has been handed over. */
  private noteSent(): void {
    const now = systemClock.now();
    const {bytesWritten} = this.socket;
    const bytes = bytesWritten - this.sentBytes;
    this.sentBytes = bytesWritten;
    this.receivedAt = Math.min(
      Math.max(this.receivedAt, now) + bytes / SLOWEST_BYTES_PER_MS,
      now + MAX_HELD_BYTES / SLOWEST_BYTES_PER_MS,
    );
  }

  /** Also while the rest of a body arrives that was answered early. */
  private get isArriving(): boolean {
    if (this.socket.bytesRead === this.consumedBytes) {
      return false;
    }
    const now = systemClock.now();
    this.waitingSince ??= now;
    return now - this.waitingSince < MAX_HEAD_WAIT_MS;
  }
}
