/** Transport of requests to upstreams, implemented with undici. */

import type {Readable} from 'node:stream';

/** Alternating header names and values, as received. */
export type RawHeaders = readonly string[];

export interface OutgoingRequest {
  /** IP address and port. */
  readonly address: string;
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer | Readable | null;
}

export interface ResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/** Callbacks of an attempt; the last is exactly one of onEnd and onFail. */
export interface AttemptObserver {
  /** Called for an informational (1xx) response. */
  onInformational(status: number): void;
  onHead(head: ResponseHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  /**
   * @param sent whether any byte of the request may have left this host
   */
  onFail(sent: boolean, error: Error): void;
}

export interface AttemptHandle {
  /** Aborts the attempt and closes its connection instead of reusing it. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

export interface Transport {
  /** @param connections maximum number of connections to the address */
  send(
    request: OutgoingRequest,
    connections: number,
    observer: AttemptObserver,
  ): AttemptHandle;
  close(): Promise<void>;
}
