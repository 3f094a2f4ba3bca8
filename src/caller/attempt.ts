/** One attempt of a session, as the transport tells of it. */

import type {
  ResponseHead,
  AttemptHandle,
  AttemptObserver,
} from '../transport/index.js';
import {OUTCOME_HEADER} from '../http/index.js';
import {findHeader} from '../http/index.js';
import {readLoad} from './headers.js';

/** Whom an attempt tells. */
export interface AttemptListener {
  responseStarted(attempt: Attempt): void;
  responseChunk(attempt: Attempt, chunk: Buffer): void;
  responseEnded(attempt: Attempt): void;
  attemptFailed(attempt: Attempt, sent: boolean, error: Error): void;
}

export class Attempt implements AttemptObserver {
  handle: AttemptHandle | undefined;
  head: ResponseHead | undefined;
  /** Requests at the upstream, as its answer says. */
  load: number | undefined;

  constructor(
    private readonly listener: AttemptListener,
    readonly number: number,
  ) {}

  /** Whether the answer claims that the request was refused before running. */
  reportsNotRun(): boolean {
    const head = this.head;
    return (
      head?.status === 503 &&
      findHeader(head.headers, OUTCOME_HEADER) === 'not-run'
    );
  }

  onInformational(): void {
    // What an upstream says before its answer is not for the caller.
  }

  onHead(head: ResponseHead): void {
    this.head = head;
    this.load = readLoad(head.headers);
    this.listener.responseStarted(this);
  }

  onData(chunk: Buffer): void {
    this.listener.responseChunk(this, chunk);
  }

  onEnd(): void {
    this.listener.responseEnded(this);
  }

  onFail(sent: boolean, error: Error): void {
    this.listener.attemptFailed(this, sent, error);
  }
}
