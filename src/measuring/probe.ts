/** A request to an upstream's load endpoint. */

import {readLoad} from '../caller/headers.js';
import type {Milliseconds} from '../time/index.js';
import type {
  ResponseHead,
  AttemptHandle,
  AttemptObserver,
  Transport,
} from '../transport/index.js';

const PROBE_TIMEOUT_MS: Milliseconds = 500;
const PROBE_CONNECTIONS = 1;
/** Size of the fixed parts of a request: request line, Host and Connection. */
const REQUEST_OVERHEAD_BYTES = 60;
/** Size of the separators after the name or value of a header. */
const HEADER_SEPARATOR_BYTES = 2;

export interface ProbeResult {
  /** Number of requests at the upstream, if reported. */
  readonly load?: number;
  /** Whether the upstream responded that it accepts no more requests. */
  readonly leaving: boolean;
  /** Approximate size of request and response on the wire. */
  readonly bytes: number;
}

export class Probe implements AttemptObserver {
  private handle: AttemptHandle | undefined;
  private timer: NodeJS.Timeout | undefined;
  private head: ResponseHead | undefined;
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

  onInformational(): void {
    // Nothing is known before the response itself.
  }

  onHead(head: ResponseHead): void {
    this.head = head;
    const lengths = head.headers.map(
      part => part.length + HEADER_SEPARATOR_BYTES,
    );
    this.bytes += lengths.reduce((sum, length) => sum + length, 0);
  }

  /** The load is in the headers; a body only adds bytes. */
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

  /**
   * Without a response nothing is assumed: endpoints lag and mislead, and requests will
   * show failures.
   */
  onFail(): void {
    clearTimeout(this.timer);
  }
}
