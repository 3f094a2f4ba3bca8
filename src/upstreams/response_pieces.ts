/**
 * Bounds what a response takes of the event loop by the number of its parts.
 *
 * Node parses all that it reads at once, 64 kB. That can be 10,000 chunks of a body, or 2,600
 * interim responses, and an upstream may send such bytes without an end.
 */

import type {ClientRequest, IncomingMessage} from 'node:http';
import type {ErrorBoundary} from '../lifecycle/index.js';
import type {TurnQueue} from '../servers/index.js';
import {takeTurns} from '../servers/index.js';
import {isFramed} from './response_completion.js';

/** Pieces of a body after which its connection takes turns with others, ... */
const MANY_PIECES = 1_000;
/** ... if they are smaller than this on average: packets carry more. */
const SMALL_PIECE_BYTES = 256;
/** An upstream sends one or two, such as 103. */
const MAX_INTERIM_RESPONSES = 16;

/** Calls `onExceeded` once, when an upstream sends more interim responses than one may. */
export function limitInterimResponses(
  outgoing: ClientRequest,
  boundary: ErrorBoundary,
  onExceeded: () => void,
): void {
  let count = 0;
  boundary.listen(outgoing, 'information', () => {
    count += 1;
    if (count === MAX_INTERIM_RESPONSES + 1) {
      onExceeded();
    }
  });
}

/** Lets connections with responses in many small pieces take turns with others. */
export class ResponsePieces {
  private count = 0;
  private bytes = 0;
  private hasTurns = false;

  constructor(
    private readonly response: IncomingMessage,
    private readonly boundary: ErrorBoundary,
    private readonly turns: TurnQueue,
  ) {}

  /** Whether its connection takes turns, and so can carry no further response. */
  get takesTurns(): boolean {
    return this.hasTurns;
  }

  note(piece: Buffer): void {
    this.count += 1;
    this.bytes += piece.length;
    // Without framing, a piece is what was read at once; its end may be delayed already.
    const isDue = this.count === MANY_PIECES && isFramed(this.response);
    if (isDue && this.bytes < MANY_PIECES * SMALL_PIECE_BYTES) {
      this.hasTurns = true;
      takeTurns(this.response.socket, this.boundary, this.turns);
    }
  }
}
