/** Connections to upstreams and what they tell of their load. */

import type {Logger} from 'pino';
import type {ProbeAnswer} from '../decisions/placement/index.js';
import {OutcomeBook} from '../decisions/placement/index.js';
import type {
  RegisteredUpstream,
  UpstreamInService,
} from '../decisions/registry/index.js';
import type {ServiceProfile} from '../decisions/routes/index.js';
import type {FleetState} from '../fleet/index.js';
import {parseAddress} from '../platform/index.js';
import type {Clock, Milliseconds} from '../time/index.js';
import type {ProbeResult, UpstreamConnection} from '../upstreams/index.js';
import {ConnectionPool, probe} from '../upstreams/index.js';
import type {GatewayMetrics} from './gateway_metrics.js';

/** An upstream that answers no probe for this time isn't reachable. */
const PROBE_TIMEOUT_MS: Milliseconds = 500;
/** A report of this age is used again: about the time a probe takes. */
const REUSE_MS: Milliseconds = 4;
/** Sends are remembered for this time, longer than any probe under way. */
const SENDS_MEMORY_MS: Milliseconds = 600;

/** Connections that a host may open to any upstream, however many hosts. */
const LEAST_CONNECTIONS = 4;

interface Told {
  readonly answer: ProbeAnswer;
  readonly at: Milliseconds;
  /** When the upstream was asked: it may not have counted later sends. */
  readonly askedAt: Milliseconds;
}

/** A request that is at an upstream. */
export interface SendTicket {
  readonly upstream: UpstreamInService;
  readonly connection: UpstreamConnection;
}

/** What is kept of one upstream. */
interface Contact {
  readonly pool: ConnectionPool;
  /** Requests of this host that are there, the oldest first. */
  readonly atWork: Set<SendTicket>;
  told: Told | undefined;
  probing: Promise<ProbeAnswer | undefined> | undefined;
  sends: readonly Milliseconds[];
}

export interface UpstreamDeskParts {
  readonly state: FleetState;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}

export class UpstreamDesk {
  readonly outcomes: OutcomeBook;
  private readonly contacts = new Map<string, Contact>();

  constructor(private readonly parts: UpstreamDeskParts) {
    this.outcomes = new OutcomeBook(parts.clock);
  }

  /** Whether asking would cost a probe. */
  needsProbe({id}: RegisteredUpstream): boolean {
    const contact = this.contacts.get(id);
    return !contact?.probing && !this.freshAnswer(contact);
  }

  /** Asks for the load; resolves with undefined if there is no answer. */
  ask(
    upstream: UpstreamInService,
    service: ServiceProfile,
  ): Promise<ProbeAnswer | undefined> {
    const contact = this.contactOf(upstream);
    const fresh = this.freshAnswer(contact);
    if (fresh) {
      return Promise.resolve(fresh);
    }
    if (this.isAtShare(contact, service)) {
      return Promise.resolve(undefined);
    }
    contact.probing ??= this.probe(
      upstream,
      contact,
      service.healthPath,
    ).finally(() => {
      contact.probing = undefined;
    });
    return contact.probing;
  }

  /** Takes in a load that came with the answer to a request. */
  noteAnswer(answer: ProbeAnswer): void {
    const contact = this.contacts.get(answer.id);
    const now = this.parts.clock.now();
    if (contact) {
      contact.told = {answer, at: now, askedAt: now};
    }
  }

  /** Requests sent there that its last report can't have counted. */
  unreported(id: string): number {
    const contact = this.contacts.get(id);
    const since = contact?.told?.askedAt ?? 0;
    return contact?.sends.filter(at => at >= since).length ?? 0;
  }

  /** Age of what an upstream last told of itself. */
  toldAgeMs(id: string): Milliseconds {
    const at = this.contacts.get(id)?.told?.at;
    return at === undefined ? Infinity : this.parts.clock.now() - at;
  }

  /** A connection for a request that is sent now. */
  connect(upstream: UpstreamInService): SendTicket {
    const contact = this.contactOf(upstream);
    const now = this.parts.clock.now();
    const recent = contact.sends.filter(at => now - at < SENDS_MEMORY_MS);
    contact.sends = [...recent, now];
    const ticket = {upstream, connection: contact.pool.acquire()};
    contact.atWork.add(ticket);
    return ticket;
  }

  /** @param reusable whether the exchange ended in order */
  release(ticket: SendTicket, reusable: boolean): void {
    const contact = this.contacts.get(ticket.upstream.id);
    contact?.atWork.delete(ticket);
    if (contact && reusable) {
      contact.pool.release(ticket.connection);
    } else {
      ticket.connection.close();
    }
  }

  /**
   * Whether an upstream tells of less work than this host has there, so that
   * the oldest of it is lost. Never so where no load is told.
   */
  async lacks(ticket: SendTicket, service: ServiceProfile): Promise<boolean> {
    const contact = this.contactOf(ticket.upstream);
    const before = contact.atWork.size;
    const answer = await this.ask(ticket.upstream, service);
    const [oldest] = contact.atWork;
    const own = Math.min(before, contact.atWork.size);
    return (
      oldest === ticket &&
      answer?.report !== undefined &&
      answer.report.running + answer.report.waiting < own
    );
  }

  /** Drops what belongs to upstreams that are no longer in service. */
  prune(): void {
    for (const [id, {pool}] of this.contacts) {
      const upstream = this.parts.state.registry.find(id);
      if (upstream && !upstream.leaving) {
        continue;
      }
      pool.remove();
      if (!upstream) {
        this.contacts.delete(id);
        this.outcomes.forget(id);
      }
    }
  }

  close(): void {
    this.contacts.forEach(({pool}) => pool.closeAll());
    this.contacts.clear();
  }

  /**
   * An upstream resets connections beyond its limit, also those that carry
   * requests. Each host keeps to its part of the limit; while no connection
   * is idle, it asks others instead of opening one more.
   */
  private isAtShare({pool}: Contact, service: ServiceProfile): boolean {
    const hosts = Math.max(1, this.parts.state.hostCount);
    const share = Math.max(
      LEAST_CONNECTIONS,
      Math.floor(service.maxConnections / hosts),
    );
    return pool.wouldOpen && pool.openCount >= share;
  }

  private freshAnswer(contact: Contact | undefined): ProbeAnswer | undefined {
    const told = contact?.told;
    const isFresh = told && this.parts.clock.now() - told.at <= REUSE_MS;
    return isFresh ? told.answer : undefined;
  }

  private async probe(
    upstream: UpstreamInService,
    contact: Contact,
    healthPath: string,
  ): Promise<ProbeAnswer | undefined> {
    const {clock, metrics} = this.parts;
    const {id, address} = upstream;
    const connection = contact.pool.acquire();
    const askedAt = clock.now();
    metrics.countProbe();
    const result = await probe(
      connection,
      id,
      address,
      healthPath,
      PROBE_TIMEOUT_MS,
    );
    if (result.kind === 'told') {
      contact.told = {answer: result.answer, at: clock.now(), askedAt};
      contact.pool.release(connection);
      return result.answer;
    }
    this.noteFailure(id, result);
    return undefined;
  }

  private noteFailure(
    id: string,
    result: Exclude<ProbeResult, {kind: 'told'}>,
  ): void {
    this.outcomes.failed(id, 'unreachable');
    const reason = result.kind === 'failed' ? result.detail : result.kind;
    this.parts.logger.debug(
      {event: 'probe', upstream: id, reason},
      'no answer to a probe',
    );
  }

  private contactOf(upstream: RegisteredUpstream): Contact {
    const known = this.contacts.get(upstream.id);
    if (known) {
      return known;
    }
    const address = parseAddress(upstream.address);
    const contact: Contact = {
      pool: new ConnectionPool(address?.ip ?? '', address?.port ?? 0),
      atWork: new Set(),
      told: undefined,
      probing: undefined,
      sends: [],
    };
    this.contacts.set(upstream.id, contact);
    return contact;
  }
}
