/** One question to an upstream's load endpoint. */

import {readLoad} from '../caller/headers.js';
import type {Milliseconds} from '../time/index.js';
import type {
  AnswerHead,
  AttemptHandle,
  AttemptObserver,
  Transport,
} from '../transport/index.js';

const PROBE_TIMEOUT_MS: Milliseconds = 500;
const PROBE_CONNECTIONS = 1;
/** A question's fixed parts: request line, Host and Connection. */
const REQUEST_OVERHEAD_BYTES = 60;
/** Separators beside each header's name or value. */
const HEADER_SEPARATOR_BYTES = 2;

export interface ProbeResult {
  /** Requests there, if it says. */
  readonly load?: number;
  /** It answered that it takes no more. */
  readonly leaving: boolean;
  /** What question and answer took on the wire, roughly. */
  readonly bytes: number;
}

export class Probe implements AttemptObserver {
  private handle: AttemptHandle | undefined;
  private timer: NodeJS.Timeout | undefined;
  private head: AnswerHead | undefined;
  private bytes = 0;

  constructor(private readonly onResult: (result: ProbeResult) => void) {}

  send(transport: Transport, address: string, path: string): void {
    this.timer = setTimeout(() => this.handle?.cancel(), PROBE_TIMEOUT_MS);
    this.timer.unref();
    this.bytes = REQUEST_OVERHEAD_BYTES + address.length + path.length;
    this.handle = transport.send(
      {address, method: 'GET', path, headers: [], body: null},
      PROBE_CONNECTIONS,
      this,
    );
  }

  onProgress(): void {
    // Nothing to learn before the answer itself.
  }

  onHead(head: AnswerHead): void {
    this.head = head;
    const lengths = head.headers.map(
      part => part.length + HEADER_SEPARATOR_BYTES,
    );
    this.bytes += lengths.reduce((sum, length) => sum + length, 0);
  }

  /** The load is in the head; a body only costs. */
  onData(chunk: Buffer): void {
    this.bytes += chunk.length;
  }

  onEnd(): void {
    clearTimeout(this.timer);
    if (this.head) {
      this.onResult({
        load: readLoad(this.head.headers),
        leaving: this.head.status === 503,
        bytes: this.bytes,
      });
    }
  }

  /** No answer says nothing: endpoints lag and mislead, requests will tell. */
  onFail(): void {
    clearTimeout(this.timer);
  }
}
