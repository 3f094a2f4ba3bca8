/** Composes upstream selection: load view, estimates, rate limits and schedulers. */

import type {Logger} from 'pino';
import type {DatagramPort} from '../datagrams/index.js';
import {Backoffs} from '../decisions/backoff/index.js';
import {NEAR_VIEW_SIZE} from '../decisions/fleet/index.js';
import {DEFAULT_OPTIONS} from '../decisions/options/index.js';
import type {HostCounts} from '../decisions/placement/index.js';
import {
  Admission,
  LoadView,
  PlacementPolicy,
  ResetHistory,
  WorkEstimates,
  freeShareOf,
} from '../decisions/placement/index.js';
import {TunnelPeers} from '../decisions/reachability/index.js';
import {ProbeBudget} from '../decisions/probing/index.js';
import type {NearHosts} from '../decisions/rate_limits/index.js';
import {RateLimits} from '../decisions/rate_limits/index.js';
import {LoadUpdateBuffer, SharingGain} from '../decisions/sharing/index.js';
import type {ColdLimit} from '../decisions/warmup/index.js';
import {ColdLimits} from '../decisions/warmup/index.js';
import type {FleetState} from '../fleet/index.js';
import type {GatewayMetrics} from '../gateway/index.js';
import {Scheduler, UpstreamClient} from '../gateway/index.js';
import {LeavingExchange} from '../leaving/index.js';
import type {ErrorReporter, ResourceStack} from '../lifecycle/index.js';
import type {HostSettings} from '../platform/index.js';
import {RateLimitExchange} from '../rate_limits/index.js';
import {LoadExchange} from '../sharing/index.js';
import {ResetExchange} from '../resets/index.js';
import {TUNNELS_ENDING, TunnelClient, TunnelServer} from '../tunnels/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';

/** A peer from which nothing was received for this time counts as down. */
const PEER_TIMEOUT_MS: Milliseconds = 10_000;
/** The same for tunnels, which are needed at once. */
const TUNNEL_PEER_TIMEOUT_MS: Milliseconds = 3_000;

export interface UpstreamSelectionParts {
  readonly settings: HostSettings;
  readonly state: FleetState;
  readonly datagrams: DatagramPort;
  /** Peers of the same data centre that were active within the given time. */
  readonly nearPeers: (withinMs: Milliseconds) => readonly string[];
  /** Addresses of all hosts that this one knows. */
  readonly peers: () => readonly string[];
  /** Closes the parts when the host stops. */
  readonly lifeCycle: ResourceStack;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly reportError: ErrorReporter;
}

export class UpstreamSelection {
  readonly upstreamClient: UpstreamClient;
  readonly tunnelServer: TunnelServer;
  readonly work = new WorkEstimates();
  private readonly resets = new ResetHistory();
  private readonly gain: SharingGain;
  private readonly exchange: LoadExchange;
  private readonly rateLimits: RateLimitExchange;
  private readonly backoffs: Backoffs;
  private readonly leaving: LeavingExchange;
  private readonly tunnels: TunnelClient;
  private readonly policy: PlacementPolicy;
  private readonly probes: ProbeBudget;
  private readonly schedulers = new Map<string, Scheduler>();
  /** Address of this host for peers; empty before `start`. */
  private address = '';

  constructor(private readonly parts: UpstreamSelectionParts) {
    const {settings, clock} = parts;
    this.gain = new SharingGain(clock, DEFAULT_OPTIONS.sharesByGain);
    const news = new LoadUpdateBuffer(clock, () =>
      this.exchange.scheduleSend(),
    );
    const view = new LoadView(clock, news);
    this.exchange = this.createExchange(view, news);
    this.rateLimits = this.createRateLimits();
    this.backoffs = new Backoffs(clock);
    this.leaving = this.createLeaving();
    this.tunnels = this.createTunnels();
    this.upstreamClient = this.createUpstreamClient(view);
    this.tunnelServer = this.createTunnelServer();
    this.probes = new ProbeBudget(clock, settings.probesPerSecond);
    this.policy = this.createPolicy(view);
  }

  /** Requests for which upstreams are being probed. */
  get searchCount(): number {
    let count = 0;
    this.schedulers.forEach(one => (count += one.searchCount));
    return count;
  }

  /** Number of upstreams that currently announce a rate limit. */
  get rateLimitedCount(): number {
    return this.rateLimits.table.limitedCount;
  }

  /** Number of upstreams whose backoff has not ended. */
  get backoffCount(): number {
    return this.backoffs.count;
  }

  /** @param address of this host for peers */
  start(address: string): void {
    this.address = address;
    this.rateLimits.start();
    this.leaving.start();
    if (DEFAULT_OPTIONS.sharesView) {
      this.exchange.start(address);
    }
  }

  schedulerOf(service: string): Scheduler {
    const known = this.schedulers.get(service);
    if (known) {
      return known;
    }
    const {clock, random, settings, state, lifeCycle, reportError} = this.parts;
    const {upstreamClient, policy, probes, gain} = this;
    const scheduler = lifeCycle.adopt(
      `scheduler of ${service}`,
      new Scheduler({
        service,
        state,
        upstreamClient,
        policy,
        probes,
        clock,
        random,
        options: DEFAULT_OPTIONS,
        gain,
        reportError,
        regionOf: dataCentre => settings.regions.get(dataCentre),
      }),
      one => one.close(),
    );
    this.schedulers.set(service, scheduler);
    return scheduler;
  }

  /** @see OverloadControlParts */
  freeShare(service: string): number | undefined {
    const {registry} = this.parts.state;
    return freeShareOf(this.upstreamClient.view, registry.inService(service));
  }

  /** Drops the data of upstreams that are no longer in service. */
  prune(): void {
    const {registry} = this.parts.state;
    this.upstreamClient.prune();
    this.upstreamClient.probeCutServices(this.parts.random);
    this.leaving.prune();
    this.policy.prune(id => registry.find(id) !== undefined);
  }

  private createTunnels(): TunnelClient {
    const {clock, random, datagrams, nearPeers, peers} = this.parts;
    datagrams.handle(TUNNELS_ENDING, peer => {
      this.upstreamClient.leaveTunnelsThrough(peer);
      return true;
    });
    return new TunnelClient({
      peers: new TunnelPeers({
        near: () => nearPeers(TUNNEL_PEER_TIMEOUT_MS),
        all: peers,
        clock,
        random,
      }),
      self: () => this.address,
      clock,
      onError: error => this.parts.reportError(error, {unit: 'tunnel'}),
    });
  }

  private createTunnelServer(): TunnelServer {
    const {settings, state, lifeCycle} = this.parts;
    return lifeCycle.adopt(
      'tunnels',
      new TunnelServer({
        ...this.parts,
        findUpstream: id => state.registry.find(id),
        knowsUpstreams: () => state.isComplete,
        localIp: settings.ip,
        reachability: this.upstreamClient.reachability,
      }),
      one => one.close(),
    );
  }

  private createUpstreamClient(view: LoadView): UpstreamClient {
    const {settings, clock, logger, metrics, state, lifeCycle, reportError} =
      this.parts;
    const options = DEFAULT_OPTIONS;
    const {rateLimits, backoffs, leaving, tunnels} = this;
    return lifeCycle.adopt(
      'upstream connections',
      new UpstreamClient({
        localIp: settings.ip,
        tunnels,
        options,
        view,
        state,
        rateLimits,
        backoffs,
        leaving,
        resets: this.createResets(),
        clock,
        logger,
        metrics,
        reportError,
      }),
      one => one.close(),
    );
  }

  private createExchange(view: LoadView, news: LoadUpdateBuffer): LoadExchange {
    const {settings, clock, datagrams, nearPeers, lifeCycle} = this.parts;
    const {dataCentre} = settings;
    const {gain} = this;
    return lifeCycle.adopt(
      'load exchange',
      new LoadExchange({
        dataCentre,
        view,
        buffer: news,
        gain,
        datagrams,
        peers: nearPeers,
        clock,
      }),
      one => one.close(),
    );
  }

  private createRateLimits(): RateLimitExchange {
    const {datagrams, peers, lifeCycle, clock, random, logger, metrics} =
      this.parts;
    return lifeCycle.adopt(
      'rate limits',
      new RateLimitExchange({
        datagrams,
        peers,
        onMalformed: () => metrics.countMalformedHeader('rate-limit'),
        clock,
        random,
        logger,
      }),
      one => one.close(),
    );
  }

  private createLeaving(): LeavingExchange {
    const {datagrams, peers, state, lifeCycle, clock, random, logger, metrics} =
      this.parts;
    return lifeCycle.adopt(
      'leaving upstreams',
      new LeavingExchange({
        datagrams,
        peers,
        onLeaving: upstream => state.registry.markLeaving(upstream),
        onMalformed: () => metrics.countMalformedHeader('leaving'),
        clock,
        random,
        logger,
      }),
      one => one.close(),
    );
  }

  private createResets(): ResetExchange {
    const {state} = this.parts;
    return new ResetExchange({
      ...this.parts,
      history: this.resets,
      hasService: name => state.routes.service(name) !== undefined,
    });
  }

  private createPolicy(view: LoadView): PlacementPolicy {
    const {settings, clock, random, state} = this.parts;
    const cold = new ColdLimits({
      clock,
      random,
      hosts: () => state.size.settledEstimate,
      limitOf: service => this.coldLimitOf(service),
    });
    const rateLimits = new RateLimits({
      table: this.rateLimits.table,
      dataCentre: settings.dataCentre,
      nearHosts: () => this.nearHosts(),
      clock,
      random,
    });
    return new PlacementPolicy({
      host: settings.host,
      hosts: () => this.hostCounts(),
      dataCentre: settings.dataCentre,
      clock,
      random,
      outcomes: this.upstreamClient.outcomes,
      resets: this.resets,
      work: this.work,
      view,
      cold,
      admission: new Admission({cold, rateLimits, backoffs: this.backoffs}),
      options: DEFAULT_OPTIONS,
    });
  }

  private nearHosts(): NearHosts {
    const {state, nearPeers} = this.parts;
    const others = nearPeers(PEER_TIMEOUT_MS);
    const isCounted = state.size.settledEstimate > 0;
    return {
      self: this.address,
      others,
      areAllKnown: others.length < NEAR_VIEW_SIZE,
      count: isCounted ? Math.ceil(this.hostCounts().near) : 0,
      fleetSize: state.size.settledEstimate,
    };
  }

  private coldLimitOf(service: string): ColdLimit | undefined {
    const {coldOverage, coldSlack} = this.parts.settings;
    const perSecond = this.parts.state.routes.service(service)?.coldPerSecond;
    if (perSecond === undefined) {
      return undefined;
    }
    const sustainedPerSecond = perSecond * coldOverage;
    return {
      maxPerSecond: Math.floor(sustainedPerSecond + coldSlack),
      sustainedPerSecond,
    };
  }

  /** Assumes that all data centres have the same number of hosts. */
  private hostCounts(): HostCounts {
    const all = this.parts.state.size.estimate;
    const {size: dataCentres} = this.parts.settings.regions;
    return {all, near: all / Math.max(1, dataCentres)};
  }
}
