/** Callers that reuse a connection for several requests or until the host closes it. */

import {Agent, request} from 'node:http';
import {HEADERS} from '../platform/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import {MONITOR_KEY, pickCustomer, pickKey} from './customers.js';
import type {History} from './history.js';
import type {Testbed} from './testbed.js';
import type {Transfer} from './transfers.js';
import {drawTransfer, paddingOf, withoutPadding} from './transfers.js';
import type {RequestOutcome, SentRequest, Unanswered} from './types.js';

const TIME_LEFT_MS: Milliseconds = 2_000;
const TRANSFER_TIME_LEFT_MS: Milliseconds = 6_000;
/** Added to the time left, so that responses sent at the deadline are recorded. */
const TIMEOUT_SLACK_MS: Milliseconds = 600;
const MIN_PAUSE_MS: Milliseconds = 20;
const PAUSE_JITTER_MS: Milliseconds = 40;
/** Added where the configuration has customers: leaves upstreams half of their capacity. */
const CUSTOMER_PAUSE_MS: Milliseconds = 200;
/** Number of requests before a caller picks another host. */
const REQUESTS_PER_CONNECTION = 25;
const ORDER_SHARE = 0.5;
const LOAD_TICK_MS: Milliseconds = 10;
export const ROUTE_HOSTNAME = 'shop.example';

/** Requests that are sent at a constant rate for some time. */
export interface Load {
  readonly perSecond: number;
  readonly durationMs: Milliseconds;
  /** Draws the customer of each request. */
  readonly pickName: () => string;
}

export class Callers {
  private nextId = 1;
  private stopped = false;
  private readonly loops: Promise<void>[] = [];

  constructor(
    private readonly testbed: Pick<Testbed, 'hosts' | 'callerLinks'>,
    private readonly history: History,
    private readonly random: Random,
  ) {}

  start(count: number): void {
    for (let i = 0; i < count; i += 1) {
      this.loops.push(this.runCaller());
    }
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.loops);
  }

  /** Sends one idempotent request to a host on a new connection and records it. */
  sendLookup(host: number, target: string): Promise<RequestOutcome> {
    const key = this.hasCustomers ? MONITOR_KEY : undefined;
    return this.send(
      this.createRequest(host, 'lookup', target, key),
      new Agent({keepAlive: false}),
    );
  }

  private async runCaller(): Promise<void> {
    while (!this.stopped) {
      const host = Math.floor(this.random() * this.testbed.hosts.length);
      const agent = new Agent({keepAlive: true, maxSockets: 1});
      for (let i = 0; i < REQUESTS_PER_CONNECTION && !this.stopped; i += 1) {
        const outcome = await this.send(this.nextRequest(host), agent);
        await sleep(this.minPauseMs + PAUSE_JITTER_MS * this.random());
        if (outcome.kind !== 'answered') {
          break;
        }
      }
      agent.destroy();
    }
  }

  /** Sends requests of customers at a constant rate, whatever becomes of them. */
  async sendLoad({perSecond, durationMs, pickName}: Load): Promise<void> {
    const agent = new Agent({keepAlive: true});
    const pending: Promise<RequestOutcome>[] = [];
    const from = this.history.clock.now();
    for (let passedMs = 0; passedMs < durationMs && !this.stopped;) {
      await sleep(LOAD_TICK_MS);
      passedMs = this.history.clock.now() - from;
      const due = Math.floor((passedMs * perSecond) / 1_000);
      while (pending.length < due) {
        const host = Math.floor(this.random() * this.testbed.hosts.length);
        pending.push(this.send(this.nextRequest(host, pickName()), agent));
      }
    }
    await Promise.all(pending);
    agent.destroy();
  }

  private get hasCustomers(): boolean {
    return this.history.customers.specs.length > 0;
  }

  private get minPauseMs(): Milliseconds {
    return MIN_PAUSE_MS + (this.hasCustomers ? CUSTOMER_PAUSE_MS : 0);
  }

  private nextRequest(host: number, customer?: string): SentRequest {
    const hasLink = this.testbed.callerLinks[host] !== undefined;
    const transfer = hasLink ? drawTransfer(this.random) : undefined;
    const small = this.random() < ORDER_SHARE ? 'order' : 'lookup';
    const kind = transfer?.kind ?? small;
    const size = transfer ? `/${transfer.paddingBytes}` : '';
    const target = `/${kind}/${this.nextId}${size}`;
    return this.createRequest(
      host,
      kind,
      target,
      this.nextKey(customer),
      transfer,
    );
  }

  /** Key of the customer, or of one drawn by its usual load; undefined without customers. */
  private nextKey(customer?: string): string | undefined {
    const {random, history} = this;
    if (!this.hasCustomers) {
      return undefined;
    }
    const name = customer ?? pickCustomer(random, 'usualShare');
    return pickKey(history.customers, name, random);
  }

  private createRequest(
    host: number,
    kind: SentRequest['kind'],
    target: string,
    key: string | undefined,
    transfer?: Transfer,
  ): SentRequest {
    const number = this.nextId;
    this.nextId += 1;
    const hasBody = kind === 'order' || kind === 'upload';
    const sent: SentRequest = {
      id: `r${number}`,
      host,
      kind,
      method: hasBody ? 'POST' : 'GET',
      target,
      body: hasBody ? `bundle ${number}` : '',
      key,
      transfer,
      at: this.history.clock.now(),
    };
    this.history.noteSent(sent);
    return sent;
  }

  private async send(sent: SentRequest, agent: Agent): Promise<RequestOutcome> {
    const outcome = await this.exchange(sent, agent);
    this.history.noteOutcome(sent.id, outcome);
    return outcome;
  }

  private exchange(sent: SentRequest, agent: Agent): Promise<RequestOutcome> {
    const {clock} = this.history;
    const {transfer} = sent;
    const timeLeftMs = transfer ? TRANSFER_TIME_LEFT_MS : TIME_LEFT_MS;
    const body = bodyOf(sent);
    return new Promise(resolve => {
      const outgoing = request({
        agent,
        ...this.addressOf(sent.host),
        method: sent.method,
        path: sent.target,
        headers: {
          host: ROUTE_HOSTNAME,
          [HEADERS.requestId]: sent.id,
          [HEADERS.timeLeft]: String(timeLeftMs),
          ...(sent.key && {authorization: `Bearer ${sent.key}`}),
          ...(sent.body && {'content-length': String(body.length)}),
        },
      });
      let localPort: number | undefined;
      // Its own port is unknown once a connection is closed.
      outgoing.on('finish', () => (localPort = outgoing.socket?.localPort));
      const settle = (outcome: RequestOutcome): void => {
        clearTimeout(timer);
        resolve(outcome);
      };
      const unanswered = (): Unanswered => {
        const at = this.deliveredAt(sent, localPort);
        return {at: clock.now(), ...(at !== undefined && {deliveredAt: at})};
      };
      const fail = (error: Error): void =>
        settle({kind: 'cut', error: error.message, ...unanswered()});
      const timer = setTimeout(() => {
        settle({kind: 'given-up', ...unanswered()});
        outgoing.destroy();
      }, timeLeftMs + TIMEOUT_SLACK_MS);
      outgoing.on('error', fail);
      outgoing.on('response', response => {
        const chunks: Buffer[] = [];
        response.on('error', fail);
        response.on('data', (chunk: Buffer) => {
          chunks.push(chunk);
          if (transfer && transfer.readBytesPerMs < Infinity) {
            response.pause();
            const readMs = chunk.length / transfer.readBytesPerMs;
            setTimeout(() => response.resume(), readMs);
          }
        });
        response.on('end', () => {
          const status = response.statusCode ?? 0;
          const whole = Buffer.concat(chunks);
          const text = withoutPadding(whole, transfer?.paddingBytes ?? 0);
          settle({kind: 'answered', status, body: text, at: clock.now()});
        });
      });
      outgoing.end(body);
    });
  }

  private addressOf(index: number): {host?: string; port?: number} {
    const {hosts, callerLinks} = this.testbed;
    const link = callerLinks[index];
    const host = hosts[index];
    return link
      ? {host: link.ip, port: link.port}
      : {host: host?.options.ip, port: host?.ports?.callers};
  }

  /** When the host had received the whole request; undefined if that isn't known. */
  private deliveredAt(
    {host, at}: SentRequest,
    localPort: number | undefined,
  ): Milliseconds | undefined {
    const link = this.testbed.callerLinks[host];
    const deliveredAt = link?.proxy.deliveredAt(localPort ?? 0);
    // Before that, the connection carried an earlier request.
    return deliveredAt !== undefined && deliveredAt >= at
      ? deliveredAt
      : undefined;
  }
}

function bodyOf({kind, body, transfer}: SentRequest): Buffer {
  const bytes = kind === 'upload' ? (transfer?.paddingBytes ?? 0) : 0;
  return Buffer.concat([Buffer.from(body), paddingOf(bytes)]);
}
