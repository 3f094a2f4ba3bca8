/** Stands in for the platform's store, after its published protocol. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {encodeKeyedRecord} from '../platform/index.js';
import {closeNow, listen} from '../servers/index.js';
import type {Milliseconds} from '../time/index.js';

/** How the store misbehaves. */
export type StoreFault =
  | 'none'
  /** Refuses with 503: nothing is done. */
  | 'refuse'
  /** Takes requests and never answers. */
  | 'silent'
  /** Does what it is asked, and loses the answer. */
  | 'lose-answers'
  /** Those who wait hear of nothing until their wait is over. */
  | 'deaf';

interface StoredRecord {
  readonly key: string;
  readonly value: string | undefined;
}

interface Topic {
  readonly records: StoredRecord[];
  /** First offset that can still be read. */
  first: number;
  readonly waiting: Set<() => void>;
}

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

export class StoreServer {
  fault: StoreFault = 'none';
  /** Calls so far, by path. */
  readonly calls = new Map<string, number>();
  /** Longest time that a read asked to wait. */
  longestWaitMs: Milliseconds = 0;
  private readonly topics = new Map<string, Topic>();
  private readonly server: Server;

  constructor() {
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
  }

  get callCount(): number {
    let count = 0;
    this.calls.forEach(one => (count += one));
    return count;
  }

  listen(): Promise<number> {
    return listen(this.server, '127.0.0.1', 0);
  }

  close(): Promise<void> {
    return closeNow(this.server);
  }

  /** Writes as the operator or an upstream does; without value, removes. */
  put(name: string, key: string, value: string | undefined): number {
    const topic = this.topic(name);
    topic.records.push({key, value});
    if (this.fault !== 'deaf') {
      topic.waiting.forEach(wake => wake());
    }
    return topic.records.length - 1;
  }

  /** Forgets the history; the newest record of each key stays. */
  trim(name: string): void {
    const topic = this.topic(name);
    topic.first = topic.records.length;
  }

  private topic(name: string): Topic {
    const known = this.topics.get(name);
    if (known) {
      return known;
    }
    const topic: Topic = {records: [], first: 0, waiting: new Set()};
    this.topics.set(name, topic);
    return topic;
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
    const body = await readAll(request);
    if (this.fault === 'refuse') {
      response.writeHead(503).end();
      return;
    }
    if (this.fault === 'silent') {
      return;
    }
    const answer = await this.answer(url, body);
    if (this.fault !== 'lose-answers') {
      response.writeHead(answer ? 200 : 410).end(answer);
    }
  }

  private async answer(url: URL, body: Buffer): Promise<Buffer | undefined> {
    const name = url.searchParams.get('topic') ?? '';
    switch (url.pathname) {
      case '/api/log-append':
        return this.append(name, body);
      case '/api/log-newest':
        return json(this.newest(name));
      case '/api/log-read':
        return this.read(
          name,
          Number(url.searchParams.get('from')),
          Number(url.searchParams.get('wait_ms') ?? 0),
        );
      default:
        return json({error: 'no such call'});
    }
  }

  private append(name: string, body: Buffer): Buffer {
    const content = body.subarray(LENGTH_BYTES);
    const keyEnd = 1 + (content[0] ?? 0);
    const key = content.toString('utf8', 1, keyEnd);
    const value = content.toString('utf8', keyEnd);
    const offset = this.put(name, key, value || undefined);
    return json({offset, end_offset: offset + 1});
  }

  private newest(name: string): object {
    const {records} = this.topic(name);
    const newest = new Map<string, number>();
    records.forEach(({key}, offset) => newest.set(key, offset));
    const items = [...newest].flatMap(([key, offset]) => {
      const value = records[offset]?.value;
      return value === undefined
        ? []
        : [{key, offset, value: Buffer.from(value).toString('base64')}];
    });
    return {items, has_more: false, end_offset: records.length};
  }

  private async read(
    name: string,
    from: number,
    waitMs: Milliseconds,
  ): Promise<Buffer | undefined> {
    const topic = this.topic(name);
    this.longestWaitMs = Math.max(this.longestWaitMs, waitMs);
    if (from < topic.first) {
      return undefined;
    }
    if (from >= topic.records.length && waitMs > 0) {
      await wait(topic, waitMs);
    }
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    head.writeBigUInt64BE(BigInt(topic.first), OFFSET_BYTES);
    const records = topic.records
      .slice(from)
      .map(({key, value = ''}) => encodeKeyedRecord(key, value));
    return Buffer.concat([head, ...records]);
  }
}

function wait(topic: Topic, waitMs: Milliseconds): Promise<void> {
  return new Promise(resolve => {
    const wake = (): void => {
      clearTimeout(timer);
      topic.waiting.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    topic.waiting.add(wake);
  });
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
