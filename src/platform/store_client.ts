/** HTTP/1.1 client of the platform's store. */

import {Agent, request} from 'node:http';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {buffer} from 'node:stream/consumers';
import {Result, err, ok} from 'neverthrow';
import type {LogPosition} from '../decisions/registry/index.js';
import {
  MAX_ERA,
  eraOf,
  offsetOf,
  positionOf,
} from '../decisions/registry/index.js';
import {PARSED_HEADER_COUNT, findHeadFault} from '../http/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import {isObject} from '../records/index.js';
import type {Milliseconds} from '../time/index.js';
import {decodePage, encodeKeyedRecord, decodeText} from './keyed_records.js';
import type {SocketAddress} from './settings_file.js';
import type {
  KeyedRecord,
  RecordPage,
  Store,
  StoreFailure,
  TopicSnapshot,
} from './types.js';

/**
 * The store usually responds within 4 ms, and takes up to 66 times as long in its
 * slow periods. A connection without a response for this long is replaced.
 */
const RESPONSE_TIMEOUT_MS: Milliseconds = 500;
const MAX_CONNECTIONS = 4;
const PARTITION = 0;
/** In all responses; rises each time that the store is restored from an older copy. */
const ERA_HEADER = 'store-era';

/** Called with the name and the outcome of each call. */
export type CallObserver = (call: string, outcome: string) => void;

interface Call {
  readonly name: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: Buffer;
  readonly timeoutMs: Milliseconds;
  readonly signal?: AbortSignal;
}

/** Body of a response and the era of the store that sent it. */
interface StoreResponse {
  readonly bytes: Buffer;
  readonly era: number;
}

const INVALID_PAGE: StoreFailure = {
  kind: 'unknown',
  message: 'the page of a snapshot is invalid',
};

interface NewestItem {
  readonly key: string;
  readonly value?: string;
  readonly offset: number;
}

interface NewestPage {
  readonly items: readonly NewestItem[];
  readonly has_more: boolean;
  readonly end_offset: number;
}

export class StoreClient implements Store {
  private readonly agent = new Agent({
    keepAlive: true,
    maxSockets: MAX_CONNECTIONS,
  });

  constructor(
    private readonly address: SocketAddress,
    private readonly observe: CallObserver = () => undefined,
  ) {}

  async put(
    topic: string,
    key: string,
    value: string,
  ): Promise<Result<LogPosition, StoreFailure>> {
    const response = await this.call({
      name: 'append',
      method: 'POST',
      path: `/api/log-append?topic=${topic}&part=${PARTITION}`,
      body: encodeKeyedRecord(key, value),
      timeoutMs: RESPONSE_TIMEOUT_MS,
    });
    return response.andThen(({bytes, era}) =>
      parseJson<{offset: number}>(bytes).map(({offset}) =>
        positionOf(era, offset),
      ),
    );
  }

  async read(
    topic: string,
    from: LogPosition,
    waitMs: Milliseconds,
    signal?: AbortSignal,
  ): Promise<Result<RecordPage, StoreFailure>> {
    // The store accepts only whole milliseconds; with a fraction it doesn't wait.
    const wait = waitMs > 0 ? `&wait_ms=${Math.ceil(waitMs)}` : '';
    const response = await this.call({
      name: 'read',
      method: 'GET',
      path: `/api/log-read?topic=${topic}&part=${PARTITION}&from=${offsetOf(from)}${wait}`,
      timeoutMs: RESPONSE_TIMEOUT_MS + waitMs,
      signal,
    });
    return response.andThen(({bytes, era}) =>
      requireEra(era, eraOf(from)).map(() => decodePage(bytes, from)),
    );
  }

  async newest(topic: string): Promise<Result<TopicSnapshot, StoreFailure>> {
    const records: KeyedRecord[] = [];
    // The pages aren't one consistent snapshot: its end is that of the first page,
    // so that changes since then are read from the log.
    let end: LogPosition | undefined;
    let after = '';
    for (;;) {
      const page = await this.newestPage(topic, after);
      if (page.isErr()) {
        return err(page.error);
      }
      const {era, items, has_more: hasMore, end_offset: endOffset} = page.value;
      end ??= positionOf(era, endOffset);
      const same = requireEra(era, eraOf(end));
      if (same.isErr()) {
        return err(same.error);
      }
      records.push(...items.map(item => toKeyedRecord(item, era)));
      const last = items.at(-1);
      if (!hasMore) {
        return ok({records, end});
      }
      if (!last) {
        return err(INVALID_PAGE);
      }
      after = `&after=${encodeURIComponent(last.key)}`;
    }
  }

  close(): void {
    this.agent.destroy();
  }

  private async newestPage(
    topic: string,
    after: string,
  ): Promise<Result<NewestPage & {readonly era: number}, StoreFailure>> {
    const response = await this.call({
      name: 'newest',
      method: 'GET',
      path: `/api/log-newest?topic=${topic}&part=${PARTITION}${after}`,
      timeoutMs: RESPONSE_TIMEOUT_MS,
    });
    return response.andThen(({bytes, era}) =>
      parseNewestPage(bytes).map(page => ({...page, era})),
    );
  }

  private call(call: Call): Promise<Result<StoreResponse, StoreFailure>> {
    return new Promise(resolve => {
      const settle = (result: Result<StoreResponse, StoreFailure>): void => {
        clearTimeout(timer);
        const outcome = result.isOk() ? 'ok' : result.error.kind;
        this.observe(call.name, outcome);
        resolve(result);
      };
      const outgoing = request({
        agent: this.agent,
        host: this.address.ip,
        port: this.address.port,
        method: call.method,
        path: call.path,
        headers: call.body ? {'content-length': call.body.length} : {},
        signal: call.signal,
      });
      const fail = (message: string): void =>
        settle(err({kind: 'unknown', message}));
      outgoing.maxHeadersCount = PARSED_HEADER_COUNT;
      const boundary = new ErrorBoundary(error => {
        fail(String(error));
        outgoing.destroy();
      });
      const expire = boundary.wrap(() => {
        fail(`no response within ${call.timeoutMs} ms`);
        outgoing.destroy();
      });
      const timer = setTimeout(expire, call.timeoutMs);
      boundary.listen(outgoing, 'error', (error: Error) => fail(error.message));
      boundary.listen(
        outgoing,
        'response',
        async (response: IncomingMessage) => {
          const bytes = await buffer(response);
          settle(toStoreResponse(response, bytes));
        },
      );
      outgoing.end(call.body);
    });
  }
}

function toStoreResponse(
  response: IncomingMessage,
  bytes: Buffer,
): Result<StoreResponse, StoreFailure> {
  const {statusCode: status = 0, headers} = response;
  const fault = findHeadFault(response);
  if (fault !== undefined) {
    return err({kind: 'unknown', message: fault});
  }
  const message = `status ${status}`;
  switch (status) {
    case 200:
      return parseEra(headers).map(era => ({bytes, era}));
    case 410:
      return err({kind: 'trimmed', message});
    default:
      return err({kind: 'refused', message});
  }
}

/** A store that was never restored may omit the header. */
function parseEra(headers: IncomingHttpHeaders): Result<number, StoreFailure> {
  const era = Number(headers[ERA_HEADER] ?? 0);
  const isEra = Number.isInteger(era) && era >= 0 && era <= MAX_ERA;
  const message = `invalid store era: ${String(headers[ERA_HEADER])}`;
  return isEra ? ok(era) : err({kind: 'unknown', message});
}

/**
 * Offsets are valid in one era: in another they refer to other records. A response
 * that was sent while the store was being restored can't be used.
 */
function requireEra(era: number, wanted: number): Result<void, StoreFailure> {
  if (era === wanted) {
    return ok();
  }
  const message = `store is in era ${era}, not ${wanted}`;
  return err({kind: era > wanted ? 'trimmed' : 'refused', message});
}

function parseJson<T>(bytes: Buffer): Result<T, StoreFailure> {
  return Result.fromThrowable(
    () => JSON.parse(bytes.toString('utf8')) as T,
    (error): StoreFailure => ({kind: 'unknown', message: String(error)}),
  )();
}

/** An incomplete page must not pass for a topic with fewer records. */
function parseNewestPage(bytes: Buffer): Result<NewestPage, StoreFailure> {
  return parseJson<unknown>(bytes).andThen(page =>
    isNewestPage(page) ? ok(page) : err(INVALID_PAGE),
  );
}

function isNewestPage(page: unknown): page is NewestPage {
  if (!isObject(page)) {
    return false;
  }
  const {items, end_offset: end} = page;
  return (
    Number.isInteger(end) && Array.isArray(items) && items.every(isNewestItem)
  );
}

function isNewestItem(item: unknown): item is NewestItem {
  return (
    isObject(item) &&
    typeof item['key'] === 'string' &&
    Number.isInteger(item['offset'])
  );
}

function toKeyedRecord(item: NewestItem, era: number): KeyedRecord {
  const {key, offset, value} = item;
  return {
    key,
    position: positionOf(era, offset),
    value: value ? decodeText(Buffer.from(value, 'base64')) : undefined,
  };
}
