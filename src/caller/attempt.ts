/** One attempt of a session; receives the transport's events. */

import type {
  ResponseHead,
  AttemptHandle,
  AttemptObserver,
} from '../transport/index.js';
import {OUTCOME_HEADER} from '../http/index.js';
import {findHeader} from '../http/index.js';
import {readLoad} from './headers.js';

/** Receives the events of an attempt. */
export interface AttemptListener {
  responseStarted(attempt: Attempt): void;
  responseChunk(attempt: Attempt, chunk: Buffer): void;
  responseEnded(attempt: Attempt): void;
  attemptFailed(attempt: Attempt, sent: boolean, error: Error): void;
}

export class Attempt implements AttemptObserver {
  handle: AttemptHandle | undefined;
  head: ResponseHead | undefined;
  /** Requests in flight at the upstream, as its response reports. */
  load: number | undefined;

  constructor(
    private readonly listener: AttemptListener,
    readonly number: number,
  ) {}

  /** Whether the response reports that the request was not run. */
  reportsNotRun(): boolean {
    const head = this.head;
    return (
      head?.status === 503 &&
      findHeader(head.headers, OUTCOME_HEADER) === 'not-run'
    );
  }

  onInformational(): void {
    // Informational (1xx) responses of an upstream are not forwarded.
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
