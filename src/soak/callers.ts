/** Callers that reuse a connection for several requests or until the host closes it. */

import {Agent, request} from 'node:http';
import {HEADERS} from '../platform/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {History} from './history.js';
import type {HostProcess} from './host_process.js';
import type {RequestOutcome, SentRequest} from './types.js';

const TIME_LEFT_MS: Milliseconds = 2_000;
/** Longer than TIME_LEFT_MS, so that responses sent at the deadline are recorded. */
const CALLER_TIMEOUT_MS: Milliseconds = 2_600;
const MIN_PAUSE_MS: Milliseconds = 20;
const PAUSE_JITTER_MS: Milliseconds = 40;
/** Number of requests before a caller picks another host. */
const REQUESTS_PER_CONNECTION = 25;
const ORDER_SHARE = 0.5;
export const ROUTE_HOSTNAME = 'shop.example';

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
    return this.send(
      this.createRequest(host, 'lookup', target),
      new Agent({keepAlive: false}),
    );
  }

  private async runCaller(): Promise<void> {
    while (!this.stopped) {
      const host = Math.floor(this.random() * this.hosts.length);
      const agent = new Agent({keepAlive: true, maxSockets: 1});
      for (let i = 0; i < REQUESTS_PER_CONNECTION && !this.stopped; i += 1) {
        const outcome = await this.send(this.nextRequest(host), agent);
        await sleep(MIN_PAUSE_MS + PAUSE_JITTER_MS * this.random());
        if (outcome.kind !== 'answered') {
          break;
        }
      }
      agent.destroy();
    }
  }

  private nextRequest(host: number): SentRequest {
    const kind = this.random() < ORDER_SHARE ? 'order' : 'lookup';
    return this.createRequest(host, kind, `/${kind}/${this.nextId}`);
  }

  private createRequest(
    host: number,
    kind: SentRequest['kind'],
    target: string,
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
