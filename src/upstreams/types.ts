import type {ByteBudget} from '../decisions/limits/index.js';
import type {LoadReport} from '../decisions/placement/index.js';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {ResponseCompletion} from './response_completion.js';
import type {RequestBody} from '../http/index.js';
import type {TurnQueue} from '../servers/index.js';
import type {Milliseconds} from '../time/index.js';
import type {ErrorHandler} from '../lifecycle/index.js';
import type {RawHeaders} from '../transport/index.js';
import type {UpstreamConnection} from './connection.js';

/** A caller's request without its hop-by-hop headers. */
export interface ForwardedRequest {
  readonly id: string;
  readonly method: string;
  /** Path with query. */
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: RequestBody;
}

/** A response that has arrived completely. */
export interface BufferedResponse {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Load that the upstream reports in the response; undefined if it reports none. */
  readonly load: LoadReport | undefined;
}

/** A response too large to buffer, which is still arriving. */
export interface StreamedResponse {
  readonly kind: 'long';
  readonly status: number;
  readonly headers: RawHeaders;
  /** What has arrived so far. */
  readonly prefix: Buffer;
  /** Releases the memory that is reserved for the prefix. */
  readonly releasePrefix: () => void;
  /** Paused; emits 'aborted' or 'error' if it is truncated. */
  readonly remainder: IncomingMessage;
  /** Verifies at the end whether the response is complete. */
  readonly completion: ResponseCompletion;
}

export type NotRunReason =
  /** No byte of the request has left this host. */
  | 'unsent'
  /** The upstream states that it has not run the request. */
  | 'shed'
  /** The address has been reassigned to another upstream. */
  | 'wrong-upstream';

export type AttemptResult =
  | BufferedResponse
  | StreamedResponse
  /** Certainly not run: even a non-idempotent request may be sent elsewhere. */
  | {
      readonly kind: 'not-run';
      readonly reason: NotRunReason;
      readonly detail: string;
      readonly load: LoadReport | undefined;
    }
  /** No complete and authentic response: the request may have run. */
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

export interface AttemptParts {
  readonly connection: UpstreamConnection;
  readonly request: ForwardedRequest;
  /** Name of the upstream that must run the request. */
  readonly upstreamName: string;
  /** Time until the caller's deadline. */
  readonly timeLeftMs: Milliseconds;
  /** Memory for responses that are buffered until they are complete. */
  readonly responseMemory: ByteBudget;
  /** For connections with much to parse. */
  readonly turns: TurnQueue;
  readonly observer: AttemptObserver;
  /** Called for an error of this program, which ends the attempt as well. */
  readonly onError: ErrorHandler;
}

export interface AttemptHandle {
  readonly result: Promise<AttemptResult>;
  /** Ends the attempt; the upstream sees its connection close. */
  readonly cancel: () => void;
  /** Ends the attempt as broken, because no response will come: it may have run. */
  readonly giveUp: (detail: string) => void;
}
