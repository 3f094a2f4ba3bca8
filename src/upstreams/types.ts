import type {LoadReport} from '../decisions/placement/index.js';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {ResponseCompletion} from './response_completion.js';
import type {RequestBody} from '../http/index.js';
import type {RawHeaders} from '../transport/index.js';

/** A request as callers sent it, without the headers of their connection. */
export interface ForwardedRequest {
  readonly id: string;
  readonly method: string;
  /** Path with query. */
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: RequestBody;
}

/** An answer whose body has arrived whole. */
export interface BufferedResponse {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** The upstream's load as it answered; undefined when it tells none. */
  readonly load: LoadReport | undefined;
}

/** An answer too large to hold; its end is still to come. */
export interface StreamedResponse {
  readonly kind: 'long';
  readonly status: number;
  readonly headers: RawHeaders;
  readonly prefix: Buffer;
  /** Paused; emits 'aborted' or 'error' when it is cut off. */
  readonly remainder: IncomingMessage;
  /** Tells at the end whether it was whole. */
  readonly completion: ResponseCompletion;
}

export type NotRunReason =
  /** No byte of the request has left this host. */
  | 'unsent'
  /** The upstream says that it hasn't run the request. */
  | 'shed'
  /** Another upstream has the address by now. */
  | 'wrong-upstream';

export type AttemptResult =
  | BufferedResponse
  | StreamedResponse
  /** Certainly not run: it may be sent elsewhere, whatever it is. */
  | {
      readonly kind: 'not-run';
      readonly reason: NotRunReason;
      readonly detail: string;
      readonly load: LoadReport | undefined;
    }
  /** No whole and genuine answer: it may have run. */
  | {readonly kind: 'broken'; readonly detail: string}
  | {readonly kind: 'cancelled'};

/** Callbacks for the events of an attempt. */
export interface AttemptObserver {
  /** Called when the expected upstream's response headers for this request arrive. */
  readonly onHeaders: (status: number, headers: IncomingHttpHeaders) => void;
  /**
   * Called when the attempt no longer uses its connection.
   *
   * @param reusable whether the connection may be used again
   */
  readonly onSettled: (reusable: boolean) => void;
}

export interface AttemptHandle {
  readonly result: Promise<AttemptResult>;
  /** Ends the attempt; the upstream sees its connection close. */
  readonly cancel: () => void;
  /** The same, because no answer will come: it may have run. */
  readonly giveUp: (detail: string) => void;
}
