/** Exchanges permits for customers' quotas with other hosts, by datagram. */

import type {Logger} from 'pino';
import type {DatagramPort} from '../datagrams/index.js';
import type {Customer} from '../decisions/customers/index.js';
import type {GrantorTerm} from '../decisions/fleet/index.js';
import type {
  QuotaGate,
  QuotaMessage,
  QuotaTolerance,
  QuotaVerdict,
} from '../decisions/quotas/index.js';
import {DistributedQuotas} from '../decisions/quotas/index.js';
import type {FleetState} from '../fleet/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import {decodeQuotaMessage, encodeQuotaMessage} from './codec.js';
import {RefusalLog} from './refusal_log.js';

/** Kinds of the datagrams. */
const DATAGRAM_KINDS: Readonly<Record<QuotaMessage['kind'], string>> = {
  ask: 'quota-ask',
  grant: 'quota-grant',
  claim: 'quota-claim',
  handover: 'quota-handover',
};
const MESSAGE_KINDS = Object.keys(DATAGRAM_KINDS) as QuotaMessage['kind'][];

/** Interval at which pauses of the process are noticed. */
const TICK_MS: Milliseconds = 100;
/** The same while requests wait for an answer. */
const WAITING_TICK_MS: Milliseconds = 10;
const PRUNE_INTERVAL_MS: Milliseconds = 1_000;

export interface QuotaExchangeParts {
  readonly datagrams: DatagramPort;
  readonly state: FleetState;
  readonly term: () => GrantorTerm | undefined;
  readonly tolerance: QuotaTolerance;
  readonly firstStart: boolean;
  readonly clock: Clock;
  readonly wallClock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export class QuotaExchange implements QuotaGate {
  private readonly quotas: DistributedQuotas;
  private readonly log: RefusalLog;
  private address = '';
  private timer: NodeJS.Timeout | undefined;
  private waitingTimer: NodeJS.Timeout | undefined;
  private pruneTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: QuotaExchangeParts) {
    const {datagrams, state, clock, logger} = parts;
    this.log = new RefusalLog(clock, logger);
    this.quotas = new DistributedQuotas({
      ...parts,
      self: () => this.address,
      quotaOf: name => state.customers.findByName(name)?.quota,
      send: (to, message) =>
        datagrams.send(
          DATAGRAM_KINDS[message.kind],
          encodeQuotaMessage(message),
          [to],
        ),
    });
    for (const kind of MESSAGE_KINDS) {
      datagrams.handle(DATAGRAM_KINDS[kind], (from, body) =>
        this.receive(kind, from, body),
      );
    }
    state.subscribe(({kind}) => {
      if (kind === 'table') {
        this.startTimers();
      }
    });
  }

  /** @param address at which other hosts reach this one */
  start(address: string): void {
    this.address = address;
    this.startTimers();
  }

  async acquire(customer: Customer): Promise<QuotaVerdict> {
    const decided = this.quotas.acquire(customer);
    this.watchWaiting();
    const verdict = await decided;
    if (verdict.kind === 'over-quota') {
      this.log.note(customer.name, verdict);
    }
    return verdict;
  }

  release(customer: Customer): void {
    this.quotas.release(customer);
  }

  /** Hands over what this host grants, before it stops. */
  handOverAll(): void {
    if (this.address !== '') {
      this.quotas.handOverAll();
    }
  }

  close(): void {
    clearInterval(this.timer);
    clearTimeout(this.waitingTimer);
    clearInterval(this.pruneTimer);
    this.address = '';
  }

  private receive(
    kind: QuotaMessage['kind'],
    from: string,
    body: unknown,
  ): boolean {
    const message = decodeQuotaMessage(kind, body);
    if (!message) {
      return false;
    }
    if (this.address !== '') {
      this.quotas.receive(from, message);
      this.watchWaiting();
    }
    return true;
  }

  /** Fleets without customers have no timers for their quotas. */
  private startTimers(): void {
    const isNeeded = !this.parts.state.customers.isEmpty;
    if (!isNeeded || this.address === '' || this.timer) {
      return;
    }
    this.timer = setInterval(() => this.quotas.tick(), TICK_MS);
    this.pruneTimer = setInterval(() => this.prune(), PRUNE_INTERVAL_MS);
    this.timer.unref();
    this.pruneTimer.unref();
  }

  private prune(): void {
    this.quotas.prune();
    this.log.sweep();
  }

  private watchWaiting(): void {
    if (!this.quotas.isWaiting || this.waitingTimer) {
      return;
    }
    this.waitingTimer = setTimeout(() => {
      this.waitingTimer = undefined;
      this.quotas.tick();
      this.watchWaiting();
    }, WAITING_TICK_MS);
  }
}
