/** Sends one request to one upstream and collects its answer. */

import type {ClientRequest, IncomingMessage} from 'node:http';
import type {RequestBody} from '../http/index.js';
import {HEADERS, WRONG_UPSTREAM_STATUS, readLoad} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import {
  ResponseCompletion,
  isFramed,
  isKeepAlive,
} from './response_completion.js';
import type {UpstreamConnection} from './connection.js';
import type {
  AttemptObserver,
  AttemptResult,
  ForwardedRequest,
  AttemptHandle,
} from './types.js';

/**
 * Answers up to this size are held until they are whole, so that one that is
 * cut off can be fetched from elsewhere without the caller noticing.
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
const MIN_SUCCESS_STATUS = 200;
const MIN_REDIRECTION_STATUS = 300;

/**
 * @param upstreamName of the upstream that is meant
 * @param timeLeftMs how long the caller still waits
 */
export function sendAttempt(
  connection: UpstreamConnection,
  request: ForwardedRequest,
  upstreamName: string,
  timeLeftMs: Milliseconds,
  observer: AttemptObserver,
): AttemptHandle {
  const attempt = new Attempt(connection, request, observer);
  return {
    result: attempt.send(upstreamName, timeLeftMs),
    cancel: () => attempt.settle({kind: 'cancelled'}, false),
    giveUp: detail => attempt.fail(detail),
  };
}

class Attempt {
  private outgoing: ClientRequest | undefined;
  private resolve: (result: AttemptResult) => void = () => undefined;
  private settled = false;
  /** Some byte of the request may have left this host. */
  private maybeSent = false;
  /** The parser says that the answer is over. */
  private responseEnded = false;

  constructor(
    private readonly connection: UpstreamConnection,
    private readonly request: ForwardedRequest,
    private readonly observer: AttemptObserver,
  ) {}

  send(upstreamName: string, timeLeftMs: Milliseconds): Promise<AttemptResult> {
    const {method, target: path, body} = this.request;
    const headers = [
      ...this.request.headers,
      HEADERS.timeLeft,
      String(Math.max(1, Math.floor(timeLeftMs))),
      HEADERS.expectedUpstream,
      upstreamName,
    ];
    headers.push(...framingHeadersOf(method, body));
    const outgoing = this.connection.startRequest({method, path, headers});
    this.outgoing = outgoing;
    outgoing.on('socket', socket => {
      if (socket.connecting) {
        socket.once('connect', () => (this.maybeSent = true));
      } else {
        this.maybeSent = true;
      }
    });
    outgoing.on('error', error => this.fail(error.message));
    outgoing.on('close', () => {
      if (!this.responseEnded) {
        this.fail('the connection closed');
      }
    });
    outgoing.on('response', answer => this.readResponse(answer));
    writeBody(outgoing, body);
    return new Promise(resolve => {
      this.resolve = resolve;
    });
  }

  /** Ends the attempt; whatever comes later is ignored. */
  settle(result: AttemptResult, reusable: boolean): void {
    if (this.settled) {
      return;
    }
    this.settled = true;
    if (!reusable) {
      this.outgoing?.destroy();
    }
    this.observer.onSettled(reusable);
    this.resolve(result);
  }

  /** Ends the attempt without an answer. */
  fail(detail: string): void {
    this.settle(
      this.maybeSent
        ? {kind: 'broken', detail}
        : {kind: 'not-run', reason: 'unsent', detail, load: undefined},
      false,
    );
  }

  private readResponse(answer: IncomingMessage): void {
    const closing = new ResponseCompletion(answer, this.request.method);
    if (this.isExpectedResponse(answer)) {
      this.observer.onHeaders(answer.statusCode ?? 0, answer.headers);
    }
    const chunks: Buffer[] = [];
    let held = 0;
    answer.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      held += chunk.length;
      if (held > MAX_BUFFERED_RESPONSE_BYTES && !this.settled) {
        this.startStreaming(answer, Buffer.concat(chunks), closing);
      }
    });
    answer.on('error', error => this.fail(error.message));
    answer.on('aborted', () => this.fail('the answer was cut off'));
    answer.on('end', () => {
      this.responseEnded = true;
      if (!answer.complete) {
        this.fail('the answer was cut off');
        return;
      }
      const body = Buffer.concat(chunks);
      closing.verify(
        () => this.settleBuffered(answer, body),
        () => this.fail('the connection was reset before the end'),
      );
    });
  }

  /** Hands a large answer over while it still arrives. */
  private startStreaming(
    answer: IncomingMessage,
    begun: Buffer,
    end: ResponseCompletion,
  ): void {
    answer.pause();
    answer.removeAllListeners('data');
    const judged = this.classify(answer, begun);
    if (judged.kind !== 'answered') {
      this.settle(judged, false);
      return;
    }
    this.settled = true;
    const {status, headers} = judged;
    answer.once('close', () => this.observer.onSettled(false));
    this.resolve({
      kind: 'long',
      status,
      headers,
      prefix: begun,
      remainder: answer,
      completion: end,
    });
  }

  private settleBuffered(answer: IncomingMessage, body: Buffer): void {
    const result = this.classify(answer, body);
    const wanted = result.kind !== 'broken';
    const kept = isFramed(answer) && isKeepAlive(answer);
    this.settle(
      result,
      wanted && kept && this.outgoing?.writableFinished === true,
    );
  }

  private isForAnotherRequest({headers}: IncomingMessage): boolean {
    const echoed = headers[HEADERS.requestId];
    return echoed !== undefined && echoed !== this.request.id;
  }

  /** Whether the expected upstream sent the answer, and for this request. */
  private isExpectedResponse(answer: IncomingMessage): boolean {
    const isExpectedUpstream = answer.statusCode !== WRONG_UPSTREAM_STATUS;
    return isExpectedUpstream && !this.isForAnotherRequest(answer);
  }

  private classify(answer: IncomingMessage, body: Buffer): AttemptResult {
    const {headers, statusCode: status = 0} = answer;
    const echoed = headers[HEADERS.requestId];
    if (this.isForAnotherRequest(answer)) {
      return {kind: 'broken', detail: 'the answer is to another request'};
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
        detail: shedDetail(answer),
        load,
      };
    }
    const success =
      status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECTION_STATUS;
    const signed = headers[HEADERS.signature] !== undefined;
    if (success && !(signed && echoed === this.request.id)) {
      return {kind: 'broken', detail: 'the answer is not signed'};
    }
    return {kind: 'answered', status, headers: answer.rawHeaders, body, load};
  }
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

function writeBody(outgoing: ClientRequest, body: RequestBody): void {
  switch (body.kind) {
    case 'none':
      outgoing.end();
      return;
    case 'held':
      outgoing.end(body.bytes);
      return;
    case 'stream':
      body.stream.on('error', error => outgoing.destroy(error));
      body.stream.pipe(outgoing);
      return;
    default:
      body satisfies never;
  }
}
