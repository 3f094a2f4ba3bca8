/** Sends one request to one upstream and reads its response. */

import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {RequestBody} from '../http/index.js';
import {GrowingBuffer, findHeadFault} from '../http/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import {HEADERS, WRONG_UPSTREAM_STATUS, readLoad} from '../platform/index.js';
import {
  ResponseCompletion,
  isFramed,
  isKeepAlive,
} from './response_completion.js';
import {abortExchange} from './connection.js';
import {ResponsePieces, limitInterimResponses} from './response_pieces.js';
import type {Milliseconds} from '../time/index.js';
import {systemClock} from '../time/index.js';
import type {AttemptHandle, AttemptParts, AttemptResult} from './types.js';

/**
 * Responses up to this size are buffered until they are complete, so that a request
 * whose response is truncated can be retried without the caller noticing. Smaller ones
 * are streamed as well while the host's memory for responses is in use.
 */
const MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024;
const BODILESS_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'DELETE',
  'OPTIONS',
]);
/** Bounds log line length when an upstream sends a long Retry-After header. */
const MAX_RETRY_AFTER_CHARACTERS = 32;
/** Bytes of a body that are sent without waiting for the other side to acknowledge some. */
const FLIGHT_BYTES = 8 * 1024;
/** Between regions, with a margin. */
const ROUND_TRIP_MS: Milliseconds = 60;
const NO_BODY = Buffer.alloc(0);
const MIN_SUCCESS_STATUS = 200;
const MIN_REDIRECTION_STATUS = 300;

export function sendAttempt(parts: AttemptParts): AttemptHandle {
  const attempt = new Attempt(parts);
  return {
    result: attempt.send(),
    cancel: () => attempt.settle({kind: 'cancelled'}, false),
    giveUp: detail => attempt.fail(detail),
  };
}

class Attempt {
  private outgoing: ClientRequest | undefined;
  private resolve: (result: AttemptResult) => void = () => undefined;
  private settled = false;
  /** Whether bytes of the request may have left this host. */
  private maybeSent = false;
  /** Whether the parser has reached the end of the response. */
  private responseEnded = false;

  /** When the whole request had been handed to the network. */
  private sentAt: Milliseconds | undefined;

  /** Memory reserved for the response. */
  private reservedBytes = 0;

  /** What a response makes a handler throw ends its own attempt. */
  private readonly boundary = new ErrorBoundary(error => {
    this.fail(`the response could not be handled: ${String(error)}`);
    this.parts.onError(error);
  });

  constructor(private readonly parts: AttemptParts) {}

  send(): Promise<AttemptResult> {
    const {connection, request, upstreamName, timeLeftMs} = this.parts;
    const {method, target: path, body} = request;
    const headers = [
      ...request.headers,
      HEADERS.timeLeft,
      String(Math.max(1, Math.floor(timeLeftMs))),
      HEADERS.expectedUpstream,
      upstreamName,
    ];
    headers.push(...framingHeadersOf(method, body));
    const outgoing = connection.startRequest({method, path, headers});
    this.outgoing = outgoing;
    const {boundary} = this;
    boundary.listen(outgoing, 'socket', (socket: Socket) => {
      if (socket.connecting) {
        boundary.listenOnce(socket, 'connect', () => (this.maybeSent = true));
      } else {
        this.maybeSent = true;
      }
    });
    boundary.listen(outgoing, 'finish', () => {
      this.sentAt = systemClock.now();
    });
    boundary.listen(outgoing, 'error', (error: Error) =>
      this.fail(error.message),
    );
    boundary.listen(outgoing, 'close', () => {
      if (!this.responseEnded) {
        this.fail('the connection closed');
      }
    });
    boundary.listen(outgoing, 'response', (response: IncomingMessage) =>
      this.readResponse(response),
    );
    limitInterimResponses(outgoing, boundary, () =>
      this.fail('too many interim responses'),
    );
    writeBody(outgoing, body, boundary);
    return new Promise(resolve => {
      this.resolve = resolve;
    });
  }

  /** Ends the attempt; later events are ignored. */
  settle(result: AttemptResult, reusable: boolean): void {
    if (this.settled) {
      return;
    }
    this.settled = true;
    if (!reusable && this.outgoing) {
      abortExchange(this.outgoing);
    }
    this.releaseMemory();
    this.parts.observer.onSettled(reusable);
    this.resolve(result);
  }

  /** Ends the attempt without a valid response. */
  fail(detail: string): void {
    this.settle(
      this.maybeSent
        ? {kind: 'broken', detail}
        : {kind: 'not-run', reason: 'unsent', detail, load: undefined},
      false,
    );
  }

  private readResponse(response: IncomingMessage): void {
    const {request, observer} = this.parts;
    const fault = findHeadFault(response);
    if (fault !== undefined) {
      this.fail(fault);
      return;
    }
    const {boundary} = this;
    const progress = {
      method: request.method,
      receivedInMs: () => this.receivedInMs,
    };
    const completion = new ResponseCompletion(response, progress, boundary);
    if (this.isExpectedResponse(response)) {
      observer.onHeaders(response.statusCode ?? 0, response.headers);
    }
    const body = new GrowingBuffer(expectedBytes(response));
    const pieces = new ResponsePieces(response, boundary, this.parts.turns);
    boundary.listen(response, 'data', (piece: Buffer) => {
      if (this.settled) {
        return;
      }
      pieces.note(piece);
      body.append(piece);
      if (!this.tryReserve(piece.length)) {
        this.startStreaming(response, body.toBuffer(), completion);
      }
    });
    boundary.listen(response, 'error', (error: Error) =>
      this.fail(error.message),
    );
    boundary.listen(response, 'aborted', () =>
      this.fail('the response was truncated'),
    );
    boundary.listen(response, 'end', () => {
      this.responseEnded = true;
      if (!response.complete) {
        this.fail('the response was truncated');
        return;
      }
      completion.verify(
        () => this.settleBuffered(response, body.toBuffer(), pieces.takesTurns),
        () =>
          this.fail('the connection was reset before the end of the response'),
      );
    });
  }

  /** Time until the upstream has received the request; Infinity while a part isn't written. */
  private get receivedInMs(): Milliseconds {
    if (this.sentAt === undefined) {
      return Infinity;
    }
    return isInOneFlight(this.parts.request.body)
      ? 0
      : this.sentAt + ROUND_TRIP_MS - systemClock.now();
  }

  private tryReserve(bytes: number): boolean {
    const isReserved =
      this.reservedBytes + bytes <= MAX_BUFFERED_RESPONSE_BYTES &&
      this.parts.responseMemory.tryReserve(bytes);
    this.reservedBytes += isReserved ? bytes : 0;
    return isReserved;
  }

  private releaseMemory(): void {
    this.parts.responseMemory.release(this.reservedBytes);
    this.reservedBytes = 0;
  }

  /** Returns a response that is too large to buffer while it is still arriving. */
  private startStreaming(
    response: IncomingMessage,
    prefix: Buffer,
    completion: ResponseCompletion,
  ): void {
    response.pause();
    response.removeAllListeners('data');
    const result = this.classify(response, NO_BODY);
    if (result.kind !== 'answered') {
      this.settle(result, false);
      return;
    }
    this.settled = true;
    const {status, headers} = result;
    this.boundary.listenOnce(response, 'close', () => {
      this.releaseMemory();
      this.parts.observer.onSettled(false);
    });
    this.resolve({
      kind: 'long',
      status,
      headers,
      prefix,
      releasePrefix: () => this.releaseMemory(),
      remainder: response,
      completion,
    });
  }

  private settleBuffered(
    response: IncomingMessage,
    body: Buffer,
    takesTurns: boolean,
  ): void {
    const result = this.classify(response, body);
    const isValid = result.kind !== 'broken';
    const canReuse = isFramed(response) && isKeepAlive(response) && !takesTurns;
    this.settle(
      result,
      isValid && canReuse && this.outgoing?.writableFinished === true,
    );
  }

  private isForAnotherRequest({headers}: IncomingMessage): boolean {
    const echoed = headers[HEADERS.requestId];
    return echoed !== undefined && echoed !== this.parts.request.id;
  }

  /** Whether the response is from the expected upstream and for this request. */
  private isExpectedResponse(response: IncomingMessage): boolean {
    const isExpectedUpstream = response.statusCode !== WRONG_UPSTREAM_STATUS;
    return isExpectedUpstream && !this.isForAnotherRequest(response);
  }

  private classify(response: IncomingMessage, body: Buffer): AttemptResult {
    const {headers, statusCode: status = 0} = response;
    const echoed = headers[HEADERS.requestId];
    if (this.isForAnotherRequest(response)) {
      return {kind: 'broken', detail: 'the response is to another request'};
    }
    const load = readLoad(headers);
    if (status === WRONG_UPSTREAM_STATUS) {
      return {
        kind: 'not-run',
        reason: 'wrong-upstream',
        detail: `the address belongs to ${String(headers[HEADERS.upstream])}`,
        load: undefined,
      };
    }
    if (headers[HEADERS.notRun] !== undefined) {
      return {
        kind: 'not-run',
        reason: 'shed',
        detail: shedDetail(response),
        load,
      };
    }
    const isSuccess =
      status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECTION_STATUS;
    const isSigned = headers[HEADERS.signature] !== undefined;
    if (isSuccess && !(isSigned && echoed === this.parts.request.id)) {
      return {kind: 'broken', detail: 'the response is not signed'};
    }
    return {kind: 'answered', status, headers: response.rawHeaders, body, load};
  }
}

/** Whether a body is sent together with its head, as networks carry 10 segments at once. */
function isInOneFlight(body: RequestBody): boolean {
  switch (body.kind) {
    case 'none':
      return true;
    case 'held':
      return body.bytes.length <= FLIGHT_BYTES;
    case 'stream':
      return false;
    default:
      return body satisfies never;
  }
}

/** Size of a body that may be buffered; 0 if it isn't known. */
function expectedBytes({headers}: IncomingMessage): number {
  const length = Number(headers['content-length'] ?? 0);
  return length <= MAX_BUFFERED_RESPONSE_BYTES ? length : 0;
}

/** Describes a shed request, including its Retry-After header if present. */
function shedDetail({statusCode, headers}: IncomingMessage): string {
  const retryAfter = headers['retry-after'];
  return retryAfter === undefined
    ? `status ${statusCode}`
    : `status ${statusCode}, retry-after ${retryAfter.slice(0, MAX_RETRY_AFTER_CHARACTERS)}`;
}

function framingHeadersOf(
  method: string,
  body: RequestBody,
): readonly string[] {
  switch (body.kind) {
    case 'none':
      return BODILESS_METHODS.has(method) ? [] : ['content-length', '0'];
    case 'held':
      return ['content-length', String(body.bytes.length)];
    case 'stream':
      return ['transfer-encoding', 'chunked'];
    default:
      return body satisfies never;
  }
}

function writeBody(
  outgoing: ClientRequest,
  body: RequestBody,
  boundary: ErrorBoundary,
): void {
  switch (body.kind) {
    case 'none':
      outgoing.end();
      return;
    case 'held':
      outgoing.end(body.bytes);
      return;
    case 'stream':
      boundary.listen(body.stream, 'error', (error: Error) =>
        outgoing.destroy(error),
      );
      body.stream.pipe(outgoing);
      return;
    default:
      body satisfies never;
  }
}
