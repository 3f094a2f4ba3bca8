/** How a request reaches an upstream; the real one uses undici. */

import type {Readable} from 'node:stream';

/** Header names and values in turn, as they came. */
export type RawHeaders = readonly string[];

export interface OutgoingRequest {
  /** IP number and port. */
  readonly address: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer | Readable | null;
}

export interface ResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/** Told of an attempt's course; exactly one of onEnd and onFail comes last. */
export interface AttemptObserver {
  /** An informational answer (1xx). */
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
  /** Ends the attempt; its connection is closed and never used again. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

export interface Transport {
  /** @param connections most connections to keep to the address */
  send(
    request: OutgoingRequest,
    connections: number,
    observer: AttemptObserver,
  ): AttemptHandle;
  close(): Promise<void>;
}
