/** Connections to upstreams and what they tell of their load. */

import type {Logger} from 'pino';
import type {Backoffs} from '../decisions/backoff/index.js';
import type {DecisionOptions} from '../decisions/options/index.js';
import type {LoadView, ProbeAnswer} from '../decisions/placement/index.js';
import {OutcomeHistory} from '../decisions/placement/index.js';
import type {
  RegisteredUpstream,
  UpstreamInService,
} from '../decisions/registry/index.js';
import type {ServiceProfile} from '../decisions/routes/index.js';
import type {FleetState} from '../fleet/index.js';
import {parseAddress} from '../platform/index.js';
import type {LeavingExchange} from '../leaving/index.js';
import type {RateLimitExchange} from '../rate_limits/index.js';
import type {Clock, Milliseconds} from '../time/index.js';
import type {ProbeResult, UpstreamConnection} from '../upstreams/index.js';
import {ConnectionPool, probe} from '../upstreams/index.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import {RetryAfterReader} from './retry_after.js';

/** An upstream that answers no probe for this time isn't reachable. */
const PROBE_TIMEOUT_MS: Milliseconds = 500;

/** Connections that a host may open to any upstream, however many hosts. */
const MIN_CONNECTION_LIMIT = 4;

/** Whether an upstream's process still runs. */
export type Presence = 'present' | 'ended' | 'unknown';

const PRESENCE_BY_PROBE_RESULT: Readonly<
  Record<ProbeResult['kind'], Presence>
> = {
  told: 'present',
  refused: 'ended',
  // One that started since has its address.
  'wrong-upstream': 'ended',
  failed: 'unknown',
};

/** A request that is at an upstream. */
export interface InFlightRequest {
  readonly upstream: UpstreamInService;
  readonly connection: UpstreamConnection;
}

/** What is kept of one upstream. */
interface UpstreamConnections {
  readonly pool: ConnectionPool;
  /** Requests of this host that are there, the oldest first. */
  readonly inFlight: Set<InFlightRequest>;
}

export interface UpstreamClientParts {
  readonly options: DecisionOptions;
  readonly view: LoadView;
  readonly state: FleetState;
  readonly rateLimits: RateLimitExchange;
  readonly backoffs: Backoffs;
  readonly leaving: LeavingExchange;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}

export class UpstreamClient {
  readonly outcomes: OutcomeHistory;
  readonly retryAfter: RetryAfterReader;
  private readonly connections = new Map<string, UpstreamConnections>();

  constructor(private readonly parts: UpstreamClientParts) {
    this.outcomes = new OutcomeHistory(parts.clock, parts.options);
    this.retryAfter = new RetryAfterReader(parts);
  }

  get view(): LoadView {
    return this.parts.view;
  }

  get leaving(): LeavingExchange {
    return this.parts.leaving;
  }

  get rateLimits(): RateLimitExchange {
    return this.parts.rateLimits;
  }

  /** A connection for a request that is sent now. */
  acquire(upstream: UpstreamInService): InFlightRequest {
    const contact = this.connectionsOf(upstream);
    const ticket = {upstream, connection: contact.pool.acquire()};
    contact.inFlight.add(ticket);
    return ticket;
  }

  /** @param reusable whether the exchange ended in order */
  release(ticket: InFlightRequest, reusable: boolean): void {
    const contact = this.connections.get(ticket.upstream.id);
    contact?.inFlight.delete(ticket);
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
  async hasLost(
    ticket: InFlightRequest,
    service: ServiceProfile,
  ): Promise<boolean> {
    if (!this.parts.backoffs.allows(ticket.upstream.id)) {
      return false;
    }
    const contact = this.connectionsOf(ticket.upstream);
    const before = contact.inFlight.size;
    const answer = await this.probe(ticket.upstream, service);
    const [oldest] = contact.inFlight;
    const own = Math.min(before, contact.inFlight.size);
    return (
      oldest === ticket &&
      answer?.report !== undefined &&
      answer.report.running + answer.report.waiting < own
    );
  }

  /** Drops what belongs to upstreams that are no longer in service. */
  prune(): void {
    this.parts.view.prune();
    for (const [id, {pool}] of this.connections) {
      const {registry} = this.parts.state;
      const upstream = registry.find(id);
      if (!upstream) {
        pool.drain();
        this.connections.delete(id);
        this.outcomes.forget(id);
      } else if (upstream.leaving) {
        pool.drain();
      } else if (!registry.acceptsRequests(upstream)) {
        // Nothing goes there until its data centre is taken back.
        pool.closeIdle();
      }
    }
  }

  close(): void {
    this.connections.forEach(({pool}) => pool.closeAll());
    this.connections.clear();
  }

  /**
   * An upstream resets connections beyond its limit, also those that carry
   * requests. Each host keeps to its part of the limit; while no connection
   * is idle, it asks others instead of opening one more.
   */
  canConnect(upstream: UpstreamInService, service: ServiceProfile): boolean {
    const {pool} = this.connectionsOf(upstream);
    const hosts = Math.max(1, this.parts.state.size.estimate);
    const share = Math.max(
      MIN_CONNECTION_LIMIT,
      Math.floor(service.maxConnections / hosts),
    );
    return !pool.needsNewConnection || pool.openCount < share;
  }

  /** Asks for the load; resolves with undefined if there is no answer. */
  async probe(
    upstream: UpstreamInService,
    service: ServiceProfile,
  ): Promise<ProbeAnswer | undefined> {
    const {pool} = this.connectionsOf(upstream);
    const result = await this.sendProbe(upstream, service, pool.acquire());
    return result.kind === 'told'
      ? {id: upstream.id, ...result.told}
      : undefined;
  }

  /**
   * Whether an upstream whose connection broke is still there. Asked over a new
   * connection: those that are kept may have broken too, without a sign yet.
   */
  async checkPresence(
    upstream: RegisteredUpstream,
    service: ServiceProfile,
  ): Promise<Presence> {
    const {pool} = this.connectionsOf(upstream);
    const result = await this.sendProbe(upstream, service, pool.open());
    return PRESENCE_BY_PROBE_RESULT[result.kind];
  }

  private async sendProbe(
    upstream: RegisteredUpstream,
    {healthPath}: ServiceProfile,
    connection: UpstreamConnection,
  ): Promise<ProbeResult> {
    const {clock, metrics, view, rateLimits} = this.parts;
    const {id, name, address} = upstream;
    const askedAt = clock.now();
    metrics.countProbe();
    const result = await probe(
      connection,
      name,
      address,
      healthPath,
      PROBE_TIMEOUT_MS,
    );
    if (result.kind === 'told') {
      rateLimits.noteHealth(id, result.headers);
      this.leaving.note(id, result.headers);
      this.retryAfter.note(id, result.status, result.headers);
      view.note({id, ...result.told}, askedAt);
      this.connectionsOf(upstream).pool.release(connection);
    } else {
      this.recordFailure(id, result);
    }
    return result;
  }

  private recordFailure(
    id: string,
    result: Exclude<ProbeResult, {kind: 'told'}>,
  ): void {
    this.outcomes.failed(id, 'unreachable');
    const reason = 'detail' in result ? result.detail : result.kind;
    this.parts.logger.debug(
      {event: 'probe', upstream: id, reason},
      'no answer to a probe',
    );
  }

  private connectionsOf(upstream: RegisteredUpstream): UpstreamConnections {
    const known = this.connections.get(upstream.id);
    if (known) {
      return known;
    }
    const address = parseAddress(upstream.address);
    const contact: UpstreamConnections = {
      pool: new ConnectionPool(address?.ip ?? '', address?.port ?? 0),
      inFlight: new Set(),
    };
    this.connections.set(upstream.id, contact);
    return contact;
  }
}
