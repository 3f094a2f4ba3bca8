/**
 * Passes a connection's bytes on to Node's parser in slices, as far as the requests in them
 * can be held.
 *
 * Node parses all that it reads at once, 64 kB. That can be 2,000 requests, or 10,000 chunks
 * of a body, each of them an object. Left unparsed, they take no more than their bytes, and
 * the system makes the caller wait.
 */

import type {Socket} from 'node:net';
import type {BodyInput} from '../http/index.js';
import type {ErrorBoundary} from '../lifecycle/index.js';
import type {Milliseconds} from '../time/index.js';
import {systemClock} from '../time/index.js';
import {TurnQueue} from './turn_queue.js';

/** Between messages: the head of a request, or a few short ones. */
const HEAD_SLICE_BYTES = 2 * 1024;
const BODY_SLICE_BYTES = 16 * 1024;
/** 64 kB of chunks of one byte would keep all other connections waiting for 10 ms and more. */
const MAX_TURN_MS: Milliseconds = 2;
/** Bytes that were read within this time count as read together. */
const ARRIVAL_STEP_MS: Milliseconds = 50;

/** Unparsed bytes that were read at about the same time. */
interface Arrival {
  readonly at: Milliseconds;
  /** Bytes of the connection up to the last of them. */
  readonly end: number;
}

export interface ConnectionInputParts {
  /** Shared by all connections of the server. */
  readonly turns: TurnQueue;
  /** Whether further requests can be held. */
  readonly canParse: () => boolean;
  /** Whether the bytes to be parsed belong to the body of a request. */
  readonly isInBody: () => boolean;
  /** Called with the size of a slice before it is parsed. */
  readonly onSlice: (bytes: number) => void;
  /** Called once no more can be parsed for now. */
  readonly onParsed: () => void;
  /** Time by which the end of the connection is to be noticed later. */
  readonly endDelayMs?: () => Milliseconds;
}

/** Whatever arrives is parsed. */
const PARSE_ALL = {
  canParse: () => true,
  isInBody: () => true,
  onSlice: () => undefined,
  onParsed: () => undefined,
} satisfies Partial<ConnectionInputParts>;

export class ConnectionInput {
  private holds = 0;
  /** Whether Node's streams have paused the connection. */
  private isPaused = false;
  private isParsing = false;
  private isScheduled = false;
  /** Whether it waits for other connections to have their turn. */
  private isYielding = false;
  private endTimer: NodeJS.Timeout | undefined;
  private readonly arrivals: Arrival[] = [];
  private parsedBytes = 0;

  /** @param socket on which Node's server listens already */
  constructor(
    private readonly socket: Socket,
    private readonly boundary: ErrorBoundary,
    private readonly parts: ConnectionInputParts,
  ) {
    // Node's requests control by these two how much is parsed.
    socket.pause = () => {
      this.isPaused = true;
      return socket;
    };
    socket.resume = () => {
      this.isPaused = false;
      this.continue();
      return socket;
    };
    // A read emits `data`, to which Node's parser listens.
    boundary.listen(socket, 'readable', () => {
      this.noteArrival();
      this.parse();
    });
  }

  /** For how long the bytes that are parsed now have waited for it. */
  get waitedMs(): Milliseconds {
    const [first] = this.arrivals;
    return first ? systemClock.now() - first.at : 0;
  }

  /** Bytes that were read and not parsed. */
  get unparsedBytes(): number {
    return this.socket.readableLength;
  }

  /** Parses nothing more until all holds are released. */
  readonly hold: BodyInput['hold'] = () => {
    this.holds += 1;
    let isReleased = false;
    return () => {
      if (!isReleased) {
        isReleased = true;
        this.holds -= 1;
        this.continue();
      }
    };
  };

  /** Parses what is unparsed, if it can be held now. */
  continue(): void {
    if (!this.isScheduled && !this.isParsing) {
      this.isScheduled = true;
      process.nextTick(
        this.boundary.wrap(() => {
          this.isScheduled = false;
          this.parse();
        }),
      );
    }
  }

  private parse(): void {
    if (this.isParsing || this.isYielding) {
      return;
    }
    this.isParsing = true;
    try {
      const until = systemClock.now() + MAX_TURN_MS;
      while (this.parseSlice()) {
        if (systemClock.now() > until) {
          this.yieldTurn();
          break;
        }
      }
    } finally {
      this.isParsing = false;
    }
    this.parts.onParsed();
  }

  /** Lets other connections have their turn. */
  private yieldTurn(): void {
    this.isYielding = true;
    this.parts.turns.add(() => {
      this.isYielding = false;
      this.parse();
    });
  }

  /** Returns whether there may be more. */
  private parseSlice(): boolean {
    const {socket, parts} = this;
    const {readableLength} = socket;
    if (readableLength === 0) {
      this.readEnd();
      return false;
    }
    if (
      socket.destroyed ||
      this.isPaused ||
      this.holds > 0 ||
      !parts.canParse()
    ) {
      return false;
    }
    const most = parts.isInBody() ? BODY_SLICE_BYTES : HEAD_SLICE_BYTES;
    const bytes = Math.min(most, readableLength);
    parts.onSlice(bytes);
    const isRead = socket.read(bytes) !== null;
    this.noteParsed(bytes);
    return isRead;
  }

  /** Makes the stream emit its end, if that has arrived. */
  private readEnd(): void {
    const {socket, boundary, parts} = this;
    const delayMs = parts.endDelayMs?.() ?? 0;
    if (delayMs <= 0) {
      socket.read(0);
      return;
    }
    clearTimeout(this.endTimer);
    this.endTimer = setTimeout(
      boundary.wrap(() => socket.read(0)),
      delayMs,
    );
    this.endTimer.unref();
  }

  private noteArrival(): void {
    if (this.unparsedBytes === 0) {
      return;
    }
    const at = systemClock.now();
    const end = this.parsedBytes + this.unparsedBytes;
    const last = this.arrivals.at(-1);
    if (last && at - last.at < ARRIVAL_STEP_MS) {
      this.arrivals[this.arrivals.length - 1] = {at: last.at, end};
    } else {
      this.arrivals.push({at, end});
    }
  }

  private noteParsed(bytes: number): void {
    this.parsedBytes += bytes;
    while ((this.arrivals[0]?.end ?? Infinity) <= this.parsedBytes) {
      this.arrivals.shift();
    }
  }
}

/** Lets other connections have their turn while much is parsed of this one. */
export function takeTurns(
  socket: Socket,
  boundary: ErrorBoundary,
  turns: TurnQueue,
): void {
  new ConnectionInput(socket, boundary, {...PARSE_ALL, turns});
}

/** Makes the end of a connection, of which a message is being parsed, be noticed later. */
export function delayEnd(
  socket: Socket,
  boundary: ErrorBoundary,
  endDelayMs: () => Milliseconds,
): void {
  const turns = new TurnQueue(boundary);
  new ConnectionInput(socket, boundary, {...PARSE_ALL, turns, endDelayMs});
}
