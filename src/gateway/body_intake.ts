/** Reads one caller's body into the host's bounded memory for bodies. */

import type {IncomingMessage} from 'node:http';
import type {ByteBudget} from '../decisions/limits/index.js';
import type {RequestBody} from '../http/index.js';
import {hasBody, readBody} from '../http/index.js';

/** Bodies up to this size are held, so that they can be sent again. */
const HELD_BODY_BYTES = 1024 * 1024;
/** Taken at a time for a body whose length isn't told, or that is streamed. */
const STEP_BYTES = 64 * 1024;

export class BodyIntake {
  private readonly releases: (() => void)[] = [];
  private takenBytes = 0;

  constructor(private readonly budget: ByteBudget) {}

  /**
   * Waits for room, then reads. What finds no more room on the way, or is too
   * large to hold, is streamed and can be sent once only.
   *
   * @param signal ends the wait for room; the body is then undefined
   */
  async read(
    request: IncomingMessage,
    mostBytes: number,
    signal: AbortSignal,
  ): Promise<RequestBody | undefined> {
    const length = Number(request.headers['content-length'] ?? NaN);
    if (hasBody(request) && !(length > mostBytes)) {
      const first = length <= HELD_BODY_BYTES ? length : STEP_BYTES;
      await this.take(first, signal);
      if (signal.aborted) {
        return undefined;
      }
    }
    const streamed = length > HELD_BODY_BYTES;
    return readBody(request, {
      mayHold: bytes => bytes <= this.takenBytes || (!streamed && this.grow()),
      mostBytes,
    });
  }

  /** Gives back the memory: the body isn't needed any more. */
  release(): void {
    this.releases.splice(0).forEach(release => release());
  }

  private take(bytes: number, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const release = this.budget.reserve(bytes, () => {
        this.takenBytes = bytes;
        resolve();
      });
      this.releases.push(release);
      signal.addEventListener('abort', () => resolve(), {once: true});
    });
  }

  private grow(): boolean {
    if (this.takenBytes + STEP_BYTES > HELD_BODY_BYTES) {
      return false;
    }
    if (!this.budget.tryReserve(STEP_BYTES)) {
      return false;
    }
    this.takenBytes += STEP_BYTES;
    this.releases.push(() => this.budget.release(STEP_BYTES));
    return true;
  }
}
