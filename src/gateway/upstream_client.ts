/** Manages connections to upstreams and probes their load. */

import type {Logger} from 'pino';
import type {Backoffs} from '../decisions/backoff/index.js';
import type {DecisionOptions} from '../decisions/options/index.js';
import type {LoadView, ProbeAnswer} from '../decisions/placement/index.js';
import {OutcomeHistory} from '../decisions/placement/index.js';
import {Reachability} from '../decisions/reachability/index.js';
import type {ReachabilityChange} from '../decisions/reachability/index.js';
import type {
  RegisteredUpstream,
  UpstreamInService,
} from '../decisions/registry/index.js';
import type {ServiceProfile} from '../decisions/routes/index.js';
import type {FleetState} from '../fleet/index.js';
import {parseAddress} from '../platform/index.js';
import type {ErrorReporter} from '../lifecycle/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import type {LeavingExchange} from '../leaving/index.js';
import type {RateLimitExchange} from '../rate_limits/index.js';
import type {ResetExchange} from '../resets/index.js';
import {TurnQueue} from '../servers/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import type {ProbeResult, UpstreamConnection} from '../upstreams/index.js';
import type {TunnelClient, TunnelOpener} from '../tunnels/index.js';
import {ConnectionPool, probe} from '../upstreams/index.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import {logReachability} from './reachability_log.js';
import {RetryAfterReader} from './retry_after.js';

/** An upstream without a probe answer within this time counts as unreachable. */
const PROBE_TIMEOUT_MS: Milliseconds = 500;

/** Connections that a host may open to an upstream, however many hosts share it. */
const MIN_CONNECTION_LIMIT = 4;

/** Whether an upstream's process still runs at its address. */
export type Presence = 'present' | 'ended' | 'unknown';

const PRESENCE_BY_PROBE_RESULT: Readonly<
  Record<ProbeResult['kind'], Presence>
> = {
  told: 'present',
  refused: 'ended',
  // Its address has been reassigned to an upstream that started since.
  'wrong-upstream': 'ended',
  failed: 'unknown',
};

/** A request in flight at an upstream. */
export interface InFlightRequest {
  readonly upstream: UpstreamInService;
  readonly connection: UpstreamConnection;
}

interface UpstreamConnections {
  readonly upstream: RegisteredUpstream;
  readonly pool: ConnectionPool;
  /** Requests of this host in flight there, oldest first. */
  readonly inFlight: Set<InFlightRequest>;
}

export interface UpstreamClientParts {
  /** Address of this host, by which upstreams and networks know it. */
  readonly localIp: string;
  /** Opens connections through other hosts. */
  readonly tunnels: TunnelClient;
  readonly options: DecisionOptions;
  readonly view: LoadView;
  readonly state: FleetState;
  readonly rateLimits: RateLimitExchange;
  readonly backoffs: Backoffs;
  readonly leaving: LeavingExchange;
  readonly resets: ResetExchange;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly reportError: ErrorReporter;
}

export class UpstreamClient {
  readonly outcomes: OutcomeHistory;
  readonly retryAfter: RetryAfterReader;
  readonly reachability: Reachability;
  /** Of connections to upstreams with much to parse. */
  readonly turns: TurnQueue;
  private readonly connections = new Map<string, UpstreamConnections>();

  constructor(private readonly parts: UpstreamClientParts) {
    this.outcomes = new OutcomeHistory(parts.clock, parts.options);
    this.retryAfter = new RetryAfterReader(parts);
    const {clock, state, reportError} = parts;
    this.turns = new TurnQueue(
      new ErrorBoundary(error => reportError(error, {unit: 'response'})),
    );
    this.reachability = new Reachability({
      clock,
      upstreamCount: service => state.registry.inService(service).length,
      onChange: change => this.handleReachability(change),
    });
  }

  get view(): LoadView {
    return this.parts.view;
  }

  get leaving(): LeavingExchange {
    return this.parts.leaving;
  }

  get resets(): ResetExchange {
    return this.parts.resets;
  }

  get rateLimits(): RateLimitExchange {
    return this.parts.rateLimits;
  }

  /** Acquires a connection for a request that is sent at once. */
  acquire(upstream: UpstreamInService): InFlightRequest {
    const connections = this.connectionsOf(upstream);
    const request = {upstream, connection: connections.pool.acquire()};
    connections.inFlight.add(request);
    return request;
  }

  /** @param reusable whether the connection can carry another request */
  release(request: InFlightRequest, reusable: boolean): void {
    const connections = this.connections.get(request.upstream.id);
    connections?.inFlight.delete(request);
    if (connections && reusable) {
      connections.pool.release(request.connection);
    } else {
      request.connection.close();
    }
  }

  /**
   * Whether an upstream reports fewer requests than this host has in flight there, so
   * that the oldest, if it is this one, is lost. Always false without load reports.
   */
  async hasLost(
    request: InFlightRequest,
    service: ServiceProfile,
  ): Promise<boolean> {
    if (!this.parts.backoffs.allows(request.upstream.id)) {
      return false;
    }
    const connections = this.connectionsOf(request.upstream);
    const inFlightBefore = connections.inFlight.size;
    const answer = await this.probe(request.upstream, service);
    const [oldest] = connections.inFlight;
    const sentByHost = Math.min(inFlightBefore, connections.inFlight.size);
    return (
      oldest === request &&
      answer?.report !== undefined &&
      answer.report.running + answer.report.waiting < sentByHost
    );
  }

  /** Ends tunnels through a host that stops; requests in flight there go on. */
  leaveTunnelsThrough(peer: string): void {
    this.parts.tunnels.avoid(peer);
    this.connections.forEach(({pool}) => pool.closeThrough(peer));
  }

  /** Probes an upstream of each service that this host is cut off from directly. */
  probeCutServices(random: Random): void {
    const {state} = this.parts;
    for (const name of this.reachability.cutOff) {
      const upstreams = state.registry.inService(name);
      const upstream = upstreams[Math.floor(random() * upstreams.length)];
      const service = state.routes.service(name);
      if (upstream && service && this.reachability.takeDirectProbe(name)) {
        const connection = this.connectionsOf(upstream).pool.open(undefined);
        void this.sendProbe(upstream, service, connection);
      }
    }
  }

  /** Drops the connections and the history of upstreams that are out of service. */
  prune(): void {
    this.parts.view.prune();
    this.reachability.prune(
      service => this.parts.state.routes.service(service) !== undefined,
    );
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
        // Its data centre is evacuated: no request is sent there until that ends.
        pool.closeIdle();
      }
    }
  }

  close(): void {
    this.connections.forEach(({pool}) => pool.closeAll());
    this.connections.clear();
  }

  /**
   * Whether a request can be sent there within this host's share of the upstream's
   * connection limit. An upstream resets connections beyond its limit, also those
   * that carry requests, so a host without an idle connection then uses others.
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

  /** Probes the load; resolves with undefined if there is no valid answer. */
  async probe(
    upstream: UpstreamInService,
    service: ServiceProfile,
  ): Promise<ProbeAnswer | undefined> {
    const {pool} = this.connectionsOf(upstream);
    const connection = pool.acquire(this.probeTunnelTo(upstream));
    const result = await this.sendProbe(upstream, service, connection);
    return result.kind === 'told'
      ? {id: upstream.id, ...result.told}
      : undefined;
  }

  /**
   * Checks whether an upstream whose connection broke still runs. Uses a new
   * connection: pooled ones may be broken as well, without being noticed yet.
   */
  async checkPresence(
    upstream: RegisteredUpstream,
    service: ServiceProfile,
  ): Promise<Presence> {
    const {pool} = this.connectionsOf(upstream);
    const connection = pool.open(this.tunnelTo(upstream, () => true));
    const result = await this.sendProbe(upstream, service, connection);
    return result.kind === 'refused' && !connection.isTunneled
      ? this.confirmEnd(upstream, service)
      : PRESENCE_BY_PROBE_RESULT[result.kind];
  }

  /**
   * Checks through another host whether an upstream that refuses connections has ended: a
   * network path that resets them looks the same. If no host can help, it is asked again.
   */
  private async confirmEnd(
    upstream: RegisteredUpstream,
    service: ServiceProfile,
  ): Promise<Presence> {
    const {tunnels} = this.parts;
    const {pool} = this.connectionsOf(upstream);
    const connection = pool.open(() => tunnels.open(upstream.id));
    const result = await this.sendProbe(upstream, service, connection);
    return PRESENCE_BY_PROBE_RESULT[result.kind];
  }

  /** A probe that fails by an error of this host is a failed one, and ends nothing else. */
  private async sendProbe(
    upstream: RegisteredUpstream,
    service: ServiceProfile,
    connection: UpstreamConnection,
  ): Promise<ProbeResult> {
    try {
      return await this.exchangeProbe(upstream, service, connection);
    } catch (error) {
      this.parts.reportError(error, {unit: 'probe', upstream: upstream.id});
      connection.close();
      return {kind: 'failed', detail: String(error)};
    }
  }

  private async exchangeProbe(
    upstream: RegisteredUpstream,
    {healthPath}: ServiceProfile,
    connection: UpstreamConnection,
  ): Promise<ProbeResult> {
    const {clock, metrics, view, rateLimits} = this.parts;
    const {id, name, address, service} = upstream;
    const askedAt = clock.now();
    metrics.countProbe();
    const isNew = !connection.wasUsed;
    if (!connection.isTunneled) {
      this.reachability.noteSent(service, id);
    }
    const result = await probe(
      connection,
      name,
      address,
      healthPath,
      PROBE_TIMEOUT_MS,
    );
    // It is direct after all if no host opened a tunnel.
    if (connection.isTunneled) {
      this.noteTunnelResult(id, connection.via, result);
    } else {
      this.noteDirectResult(upstream, result, isNew);
    }
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

  /** A host through which probes fail may be down or cut off itself. */
  private noteTunnelResult(
    upstream: string,
    via: string | undefined,
    {kind}: ProbeResult,
  ): void {
    const {tunnels} = this.parts;
    if (
      via !== undefined &&
      tunnels.noteProbe(via, upstream, kind !== 'failed')
    ) {
      this.leaveTunnelsThrough(via);
    }
  }

  private noteDirectResult(
    {id, service}: RegisteredUpstream,
    {kind}: ProbeResult,
    isNew: boolean,
  ): void {
    if (kind === 'told' || kind === 'wrong-upstream') {
      this.reachability.noteAnswer(service, isNew);
    } else {
      this.reachability.noteFailure(service, id);
    }
  }

  private recordFailure(
    id: string,
    result: Exclude<ProbeResult, {kind: 'told'}>,
  ): void {
    this.outcomes.failed(id, 'unreachable');
    const reason = 'detail' in result ? result.detail : result.kind;
    this.parts.logger.debug(
      {event: 'probe', upstream: id, reason},
      'probe failed',
    );
  }

  /** Requests take the new path at once; those in flight stay on the old one. */
  private handleReachability(change: ReachabilityChange): void {
    logReachability(this.parts.logger, change);
    this.connections.forEach(({upstream, pool}) => {
      if (upstream.service === change.service) {
        pool.closeIdle();
      }
    });
  }

  /**
   * Opens connections through another host while this one is cut off. Without such a host
   * a request is not sent: on a path that is known to be cut, nobody could tell whether it
   * ran.
   *
   * @param mayFallBack whether the direct path may be tried all the same
   */
  private tunnelTo(
    {id, service}: RegisteredUpstream,
    mayFallBack: () => boolean = () => false,
  ): TunnelOpener | undefined {
    return this.reachability.isCutOff(service)
      ? () => this.parts.tunnels.openOr(id, mayFallBack)
      : undefined;
  }

  /** A probe may find out that the direct path works after all. */
  private probeTunnelTo(
    upstream: RegisteredUpstream,
  ): TunnelOpener | undefined {
    const {service, id} = upstream;
    return this.tunnelTo(upstream, () =>
      this.reachability.takeFallbackProbe(service, id),
    );
  }

  private connectionsOf(upstream: RegisteredUpstream): UpstreamConnections {
    const existing = this.connections.get(upstream.id);
    if (existing) {
      return existing;
    }
    const address = parseAddress(upstream.address);
    const connections: UpstreamConnections = {
      pool: new ConnectionPool(
        {
          ip: address?.ip ?? '',
          port: address?.port ?? 0,
          localIp: this.parts.localIp,
        },
        error =>
          this.parts.reportError(error, {
            unit: 'upstream connection',
            upstream: upstream.id,
          }),
        this.parts.clock,
        {
          tunnel: () => this.tunnelTo(upstream),
          detour: () => this.parts.tunnels.open(upstream.id),
        },
      ),
      upstream,
      inFlight: new Set(),
    };
    this.connections.set(upstream.id, connections);
    return connections;
  }
}
