/** Simulates the platform's store, following its published protocol. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {encodeKeyedRecord} from '../platform/index.js';
import {closeNow, listen} from '../servers/index.js';
import type {Milliseconds} from '../time/index.js';
import {sleep, systemClock} from '../time/index.js';
import {FixedWindowRateLimiter} from './fixed_window_rate_limiter.js';
import type {StoreCopy, TopicPage} from './store_topics.js';
import {StoreTopics} from './store_topics.js';

/** Fault to inject into the store's responses. */
export type StoreFault =
  | 'none'
  /** Refuses with 503 without executing the call. */
  | 'refuse'
  /** Refuses with 429, as if the rate limit were exceeded. */
  | 'limit'
  /** Resets the connection. */
  | 'reset'
  /** Accepts requests and never responds. */
  | 'silent'
  /** Executes the call but sends no response. */
  | 'lose-answers'
  /** Sends no response and executes the call after a delay. */
  | 'late'
  /** New records don't wake waiting reads; they return when their wait ends. */
  | 'deaf';

/** Listening port of the store with faults of its own. */
export interface StoreEndpoint {
  readonly port: number;
  fault: StoreFault;
  /** Delay of each response. */
  delayMs: Milliseconds;
  /** Calls for these topics are executed but get no response. */
  readonly lostTopics: Set<string>;
}

interface StoreResponse {
  readonly status: number;
  readonly body: Buffer;
}

const LENGTH_PREFIX_BYTES = 4;
const OFFSET_BYTES = 8;
/** Execution delay of the `late` fault; on the platform it can be seconds. */
const LATE_EFFECT_DELAY_MS: Milliseconds = 400;
const UNLIMITED_PER_SECOND = 1e9;

const STATUS = {
  ok: 200,
  badRequest: 400,
  trimmed: 410,
  preconditionFailed: 412,
  rateLimited: 429,
  unavailable: 503,
};

export class StoreServer {
  readonly topics = new StoreTopics();
  /** Number of calls by path. */
  readonly calls = new Map<string, number>();
  readonly reads = new FixedWindowRateLimiter(
    systemClock,
    UNLIMITED_PER_SECOND,
  );
  readonly writes = new FixedWindowRateLimiter(
    systemClock,
    UNLIMITED_PER_SECOND,
  );
  /** Pages of reads are cut off after this many bytes, also in the middle of a record. */
  maxPageBytes = Infinity;
  /** Whether reads without a record are answered at once instead of after their wait. */
  ignoresWaits = false;
  /** Calls refused because of the rate limit. */
  rateLimitedCount = 0;
  /** Longest wait that a read requested, by topic. */
  readonly longestWaits = new Map<string, Milliseconds>();
  private readonly endpoints: StoreEndpoint[] = [];
  private readonly servers: Server[] = [];
  private globalFault: StoreFault = 'none';
  private currentEra = 0;

  /** Fault of all endpoints; takes precedence over their own. */
  get fault(): StoreFault {
    return this.globalFault;
  }

  set fault(fault: StoreFault) {
    this.globalFault = fault;
    this.topics.wakeupsSuppressed = fault === 'deaf';
  }

  get callCount(): number {
    let count = 0;
    this.calls.forEach(one => (count += one));
    return count;
  }

  async listen(): Promise<number> {
    return (await this.addEndpoint()).port;
  }

  /** Opens another port, so that one host can be given faults of its own. */
  async addEndpoint(): Promise<StoreEndpoint> {
    const endpoint: StoreEndpoint & {port: number} = {
      port: 0,
      fault: 'none',
      delayMs: 0,
      lostTopics: new Set(),
    };
    const server = createServer((request, response) => {
      void this.serve(request, response, endpoint);
    });
    this.servers.push(server);
    this.endpoints.push(endpoint);
    endpoint.port = await listen(server, '127.0.0.1', 0);
    return endpoint;
  }

  async close(): Promise<void> {
    await Promise.all(this.servers.map(closeNow));
  }

  /** Epoch of the store; incremented on each restore from a copy. */
  get era(): number {
    return this.currentEra;
  }

  copy(): StoreCopy {
    return this.topics.copy();
  }

  /** Restores the store from a copy; returns the records written since. */
  restoreFrom(copy: StoreCopy): StoreCopy {
    this.currentEra += 1;
    return this.topics.restore(copy);
  }

  /** Writes a record as the operator or an upstream does; undefined removes the key. */
  put(name: string, key: string, value: string | undefined): number {
    return this.topics.put(name, key, value);
  }

  /** Loses the last records of a topic, without a new era. */
  loseLast(name: string, count: number): void {
    this.topics.loseLast(name, count);
  }

  trim(name: string): void {
    this.topics.trim(name);
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
    endpoint: StoreEndpoint,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
    const body = await readAll(request).catch(() => undefined);
    if (!body) {
      return;
    }
    if (endpoint.delayMs > 0) {
      await sleep(endpoint.delayMs);
    }
    const fault =
      this.globalFault === 'none' ? endpoint.fault : this.globalFault;
    switch (fault) {
      case 'refuse':
        this.respond(response, {status: STATUS.unavailable, body: json({})});
        return;
      case 'limit':
        this.respond(response, {status: STATUS.rateLimited, body: json({})});
        return;
      case 'reset':
        request.socket.resetAndDestroy();
        return;
      case 'silent':
        return;
      case 'lose-answers':
        await this.execute(url, body);
        return;
      case 'late':
        setTimeout(
          () => void this.execute(url, body),
          LATE_EFFECT_DELAY_MS,
        ).unref();
        return;
      case 'none':
      case 'deaf':
        await this.respondVia(endpoint, url, body, response);
        return;
      default:
        fault satisfies never;
    }
  }

  private async respondVia(
    endpoint: StoreEndpoint,
    url: URL,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    const result = await this.execute(url, body);
    if (!endpoint.lostTopics.has(url.searchParams.get('topic') ?? '')) {
      this.respond(response, result);
    }
  }

  private async execute(url: URL, body: Buffer): Promise<StoreResponse> {
    const isWrite = url.pathname === '/api/log-append';
    if (!(isWrite ? this.writes : this.reads).tryTake()) {
      this.rateLimitedCount += 1;
      return {status: STATUS.rateLimited, body: json({})};
    }
    const query = url.searchParams;
    const name = query.get('topic') ?? '';
    switch (url.pathname) {
      case '/api/log-append':
        return this.append(name, body, query.get('as_of'));
      case '/api/log-newest':
        return this.newest(name, query.get('after') ?? '');
      case '/api/log-read':
        return this.read(
          name,
          Number(query.get('from')),
          Number(query.get('wait_ms') ?? 0),
        );
      default:
        return {status: 404, body: json({error: 'no such call'})};
    }
  }

  private respond(
    response: ServerResponse,
    {status, body}: StoreResponse,
  ): void {
    const headers = {
      'content-length': body.length,
      'store-era': this.currentEra,
    };
    response.writeHead(status, headers).end(body);
  }

  private append(
    name: string,
    body: Buffer,
    asOf: string | null,
  ): StoreResponse {
    const end = this.topics.end(name);
    if (asOf !== null && Number(asOf) !== end) {
      return {status: STATUS.preconditionFailed, body: json({end_offset: end})};
    }
    const content = body.subarray(LENGTH_PREFIX_BYTES);
    const keyEnd = 1 + (content[0] ?? 0);
    const key = content.toString('utf8', 1, keyEnd);
    const value = content.toString('utf8', keyEnd);
    const offset = this.put(name, key, value || undefined);
    return {
      status: STATUS.ok,
      body: json({offset, end_offset: offset + 1}),
    };
  }

  private newest(name: string, after: string): StoreResponse {
    const {items, hasMore, end} = this.topics.newest(name, after);
    const listed = items.map(({key, offset, value}) => ({
      key,
      offset,
      value: Buffer.from(value).toString('base64'),
    }));
    return {
      status: STATUS.ok,
      body: json({items: listed, has_more: hasMore, end_offset: end}),
    };
  }

  private async read(
    name: string,
    from: number,
    waitMs: Milliseconds,
  ): Promise<StoreResponse> {
    if (!Number.isInteger(waitMs)) {
      return {
        status: STATUS.badRequest,
        body: json({error: 'wait_ms is not whole'}),
      };
    }
    const longest = this.longestWaits.get(name) ?? 0;
    this.longestWaits.set(name, Math.max(longest, waitMs));
    const page = await this.topics.read(
      name,
      from,
      this.ignoresWaits ? 0 : waitMs,
    );
    return page
      ? {
          status: STATUS.ok,
          body: encodePage(page).subarray(0, this.maxPageBytes),
        }
      : {status: STATUS.trimmed, body: json({first: this.topics.end(name)})};
  }
}

function encodePage({first, end, records}: TopicPage): Buffer {
  const head = Buffer.alloc(2 * OFFSET_BYTES);
  head.writeBigUInt64BE(BigInt(end), 0);
  head.writeBigUInt64BE(BigInt(first), OFFSET_BYTES);
  const encoded = records.map(({key, value = ''}) =>
    encodeKeyedRecord(key, value),
  );
  return Buffer.concat([head, ...encoded]);
}

async function readAll(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

function json(value: object): Buffer {
  return Buffer.from(JSON.stringify(value));
}
