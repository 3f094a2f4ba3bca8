/** A connection of a caller: what is owed on it, and how it is closed. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionUse} from '../decisions/limits/index.js';
import type {BodyInput} from '../http/index.js';
import type {ErrorBoundary} from '../lifecycle/index.js';
import type {Milliseconds} from '../time/index.js';
import {systemClock} from '../time/index.js';
import type {ConnectionAdmission} from './connection_admission.js';
import {ConnectionInput} from './connection_input.js';
import type {TurnQueue} from './turn_queue.js';
import type {CallerCall, IncomingCall} from './types.js';

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

/** A connection without requests: its socket, parser and listeners. */
const CONNECTION_BYTES = 16 * 1024;
/** A request until its response has been sent, without its body. */
const REQUEST_BYTES = 16 * 1024;
/** What is read at once; the last byte that isn't parsed keeps all of it. */
const UNPARSED_BYTES = 80 * 1024;
/** What waits for a response that is passed on while it arrives. */
const STREAM_BYTES = 64 * 1024;
/** A head of many short headers takes this many bytes for each that is sent. */
const HEAD_EXPANSION = 10;

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
  /** Bytes parsed that are neither a whole head nor part of a body. */
  private headBytes = 0;
  /** When bytes last went either way, and their number. */
  private progressedAt = systemClock.now();
  private transferredBytes = 0;
  readonly input: ConnectionInput;
  private readonly bodyInput: BodyInput;

  constructor(
    readonly socket: Socket,
    private readonly boundary: ErrorBoundary,
    private readonly admission: ConnectionAdmission,
    turns: TurnQueue,
  ) {
    this.input = new ConnectionInput(socket, boundary, {
      turns,
      canParse: () => this.canParse,
      isInBody: () => this.isInBody,
      onSlice: bytes => this.noteSlice(bytes),
      onParsed: () => this.noteUse(),
    });
    this.bodyInput = {
      hold: this.input.hold,
      noteBody: () => (this.headBytes = 0),
    };
    boundary.listenOnce(socket, 'close', () => admission.delete(this));
  }

  /** What a call on it needs of it. */
  get callParts(): Omit<CallerCall, keyof IncomingCall> {
    return {
      input: this.bodyInput,
      waitedMs: this.input.waitedMs,
      noteWritten: () => this.noteUse(),
    };
  }

  /** Whether bytes wait for the caller to read. */
  get isUnread(): boolean {
    return queuedBytes(this.socket) > 0;
  }

  /** Whether no request of it is under way. */
  get isIdle(): boolean {
    return this.owed.size === 0;
  }

  /** What is in a chunked body may be its trailers, which Node collects like a head. */
  private noteSlice(bytes: number): void {
    const {lastRequest} = this;
    const isSized = lastRequest?.headers['content-length'] !== undefined;
    this.headBytes += this.isInBody && isSized ? 0 : bytes;
  }

  /** Notes what it takes at the moment, and whether bytes went either way. */
  noteUse(): void {
    const {socket} = this;
    if (socket.destroyed) {
      return;
    }
    const transferredBytes =
      socket.bytesRead + socket.bytesWritten - queuedBytes(socket);
    if (transferredBytes !== this.transferredBytes) {
      this.transferredBytes = transferredBytes;
      this.progressedAt = systemClock.now();
    }
    this.admission.noteUse(this);
  }

  get use(): ConnectionUse {
    return {bytes: this.bytes, progressedAt: this.progressedAt};
  }

  private get bytes(): number {
    let unsentBytes = this.socket.writableLength;
    for (const response of this.owed) {
      // Those behind the first have no socket yet.
      unsentBytes += response.socket ? 0 : response.writableLength;
      const isStreamed = response.headersSent && !response.writableEnded;
      unsentBytes += isStreamed ? STREAM_BYTES : 0;
    }
    return (
      CONNECTION_BYTES +
      (this.input.unparsedBytes > 0 ? UNPARSED_BYTES : 0) +
      HEAD_EXPANSION * this.headBytes +
      REQUEST_BYTES * this.owed.size +
      unsentBytes
    );
  }

  get owedResponses(): readonly ServerResponse[] {
    return [...this.owed];
  }

  noteRequest(request: IncomingMessage, response: ServerResponse): void {
    const noteConsumed = (): void => {
      this.consumedBytes = this.socket.bytesRead - this.input.unparsedBytes;
    };
    this.lastRequest = request;
    this.headBytes = 0;
    this.owed.add(response);
    this.boundary.listenOnce(request, 'close', noteConsumed);
    this.boundary.listenOnce(response, 'close', () => {
      this.owed.delete(response);
      noteConsumed();
      this.noteSent();
      this.noteUse();
      this.input.continue();
    });
  }

  private get canParse(): boolean {
    return this.isInBody || this.owed.size < this.maxRequests;
  }

  private get maxRequests(): number {
    if (this.isEnded) {
      return MAX_LATE_REQUESTS;
    }
    return this.admission.isScarce ? 1 : MAX_REQUESTS;
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

/** Bytes that were handed to the system and that it hasn't taken. */
function queuedBytes(socket: Socket): number {
  const {_handle: handle} = socket as unknown as {
    readonly _handle?: {readonly writeQueueSize?: number} | null;
  };
  return handle?.writeQueueSize ?? 0;
}
