/** Callers that reuse a connection for several requests or until the host closes it. */

import {Agent, request} from 'node:http';
import {HEADERS} from '../platform/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import {MONITOR_KEY, pickCustomer, pickKey} from './customers.js';
import type {History} from './history.js';
import type {HostProcess} from './host_process.js';
import type {RequestOutcome, SentRequest} from './types.js';

const TIME_LEFT_MS: Milliseconds = 2_000;
/** Longer than TIME_LEFT_MS, so that responses sent at the deadline are recorded. */
const CALLER_TIMEOUT_MS: Milliseconds = 2_600;
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
    private readonly hosts: readonly HostProcess[],
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
      const host = Math.floor(this.random() * this.hosts.length);
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
        const host = Math.floor(this.random() * this.hosts.length);
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
    const kind = this.random() < ORDER_SHARE ? 'order' : 'lookup';
    const target = `/${kind}/${this.nextId}`;
    return this.createRequest(host, kind, target, this.nextKey(customer));
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
  ): SentRequest {
    const number = this.nextId;
    this.nextId += 1;
    const isOrder = kind === 'order';
    const sent: SentRequest = {
      id: `r${number}`,
      host,
      kind,
      method: isOrder ? 'POST' : 'GET',
      target,
      body: isOrder ? `bundle ${number}` : '',
      key,
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
    return new Promise(resolve => {
      const host = this.hosts[sent.host];
      const outgoing = request({
        agent,
        host: host?.options.ip,
        port: host?.ports?.callers,
        method: sent.method,
        path: sent.target,
        headers: {
          host: ROUTE_HOSTNAME,
          [HEADERS.requestId]: sent.id,
          [HEADERS.timeLeft]: String(TIME_LEFT_MS),
          ...(sent.key && {authorization: `Bearer ${sent.key}`}),
          ...(sent.body && {'content-length': String(sent.body.length)}),
        },
      });
      const settle = (outcome: RequestOutcome): void => {
        clearTimeout(timer);
        resolve(outcome);
      };
      const fail = (error: Error): void =>
        settle({kind: 'cut', error: error.message, at: clock.now()});
      const timer = setTimeout(() => {
        settle({kind: 'given-up', at: clock.now()});
        outgoing.destroy();
      }, CALLER_TIMEOUT_MS);
      outgoing.on('error', fail);
      outgoing.on('response', response => {
        const chunks: Buffer[] = [];
        response.on('error', fail);
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () => {
          const status = response.statusCode ?? 0;
          const body = Buffer.concat(chunks).toString();
          settle({kind: 'answered', status, body, at: clock.now()});
        });
      });
      outgoing.end(sent.body);
    });
  }
}
