/** Composes an entry host on the platform from its parts, and shuts it down in order. */

import {propagationBudget} from '../decisions/fleet/index.js';
import {ByteBudget} from '../decisions/limits/index.js';
import {DEFAULT_OPTIONS} from '../decisions/options/index.js';
import type {HostRetryBudgets} from '../decisions/retries/index.js';
import {StallDetector} from '../decisions/stalls/index.js';
import {planShutdown} from '../decisions/stopping/index.js';
import {TrafficSplit} from '../decisions/routes/index.js';
import {FleetMember, FleetState, RelayServer} from '../fleet/index.js';
import type {HostGauges} from '../gateway/index.js';
import {
  CrashDetector,
  DownloadAdmission,
  GatewayServer,
  MetricsServer,
  ReadinessServer,
  RequestLog,
  UnknownHeaders,
} from '../gateway/index.js';
import type {ErrorReporter} from '../lifecycle/index.js';
import {ResourceStack, createErrorReporter} from '../lifecycle/index.js';
import {DatagramPort} from '../datagrams/index.js';
import {OverloadExchange} from '../overload/index.js';
import {CrashHistory} from '../quarantine/index.js';
import {QuotaExchange} from '../quotas/index.js';
import type {Milliseconds} from '../time/index.js';
import {systemWallClock} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {HostLimits} from './host_limits.js';
import {limitsOf} from './host_limits.js';
import {createRetryBudgets} from './retry_budgets.js';
import {warnOfUnknownEvacuations} from './unknown_evacuations.js';
import type {BodyMemory, GatewayHostParts, HostPorts} from './types.js';
import {UpstreamSelection} from './upstream_selection.js';

const PRUNE_INTERVAL_MS: Milliseconds = 500;
const ACTIVITY_INTERVAL_MS: Milliseconds = 1_000;

export class GatewayHost {
  private readonly lifeCycle: ResourceStack;
  private readonly reportError: ErrorReporter;
  private readonly state: FleetState;
  private readonly member: FleetMember;
  private readonly relay: RelayServer;
  private readonly gateway: GatewayServer;
  private readonly readiness: ReadinessServer;
  private readonly metricsServer: MetricsServer;
  private readonly datagrams: DatagramPort;
  private readonly crashHistory: CrashHistory;
  private readonly upstreamSelection: UpstreamSelection;
  private readonly quotas: QuotaExchange;
  private readonly overload: OverloadExchange;
  private readonly retries: HostRetryBudgets;
  private readonly limits: HostLimits;
  private readonly bodies: ByteBudget;
  private readonly responseMemory: ByteBudget;
  private readonly downloads: DownloadAdmission;
  private stopping = false;
  private wasReady = false;

  constructor(private readonly parts: GatewayHostParts) {
    const {settings, clock, random, logger} = parts;
    this.lifeCycle = new ResourceStack(logger);
    this.limits = limitsOf(settings);
    this.bodies = new ByteBudget(this.limits.bodyBytes);
    this.responseMemory = new ByteBudget(this.limits.responseBytes);
    const {metrics} = parts;
    const reportError = createErrorReporter(logger, () =>
      metrics.countInternalError(),
    );
    this.reportError = reportError;
    this.state = this.lifeCycle.adopt(
      'state',
      new FleetState(clock, logger, settings.changeBoundMs),
      one => one.close(),
    );
    this.downloads = new DownloadAdmission({
      linkMbps: settings.linkMbps,
      table: () => this.state.routes.current,
      retryMs: DEFAULT_OPTIONS.shortestRetryMs,
      clock,
      random,
    });
    this.metricsServer = this.lifeCycle.adopt(
      'metrics',
      new MetricsServer(() => metrics.render(this.gauges()), reportError),
      one => one.close(),
    );
    this.datagrams = this.lifeCycle.adopt(
      'datagrams',
      new DatagramPort(logger, reportError),
      one => one.close(),
    );
    this.crashHistory = this.createCrashHistory();
    this.upstreamSelection = new UpstreamSelection({
      settings,
      state: this.state,
      datagrams: this.datagrams,
      nearPeers: withinMs => this.member.nearPeersHeardWithin(withinMs),
      peers: () => this.member.peers,
      lifeCycle: this.lifeCycle,
      clock,
      random,
      logger,
      metrics,
      reportError,
    });
    this.quotas = this.createQuotas();
    this.retries = createRetryBudgets(parts, this.state.size);
    this.overload = this.createOverloadExchange();
    this.relay = this.createRelay();
    this.member = this.createMember();
    this.state.subscribeToStoreRestore(() => this.handleStoreRestore());
    warnOfUnknownEvacuations(this.state, settings.regions, logger);
    this.readiness = this.lifeCycle.adopt(
      'readiness',
      new ReadinessServer(() => this.isReady(), reportError),
      one => one.close(),
    );
    this.gateway = this.createGateway();
    this.ownTimer('prune timer', PRUNE_INTERVAL_MS, () =>
      this.upstreamSelection.prune(),
    );
    this.ownTimer('activity timer', ACTIVITY_INTERVAL_MS, () =>
      this.logActivity(),
    );
  }

  /** Whether this host reads the store for itself and its followers. */
  get isReader(): boolean {
    return this.member.isReader;
  }

  /** Whether this host knows the fleet size, and so its share of fleet-wide budgets. */
  get isCounted(): boolean {
    return this.state.size.settledEstimate > 0;
  }

  /** Whether the data is recent enough to say that a route or key doesn't exist. */
  get isFresh(): boolean {
    return this.state.isFresh;
  }

  /** Number of other hosts that this one knows. */
  get peerCount(): number {
    return this.member.peers.length;
  }

  /** Services of which this host can reach no upstream. */
  get cutOffServices(): readonly string[] {
    return this.upstreamSelection.upstreamClient.reachability.cutOff;
  }

  /** Open connections to upstreams for hosts that are cut off. */
  get tunnelCount(): number {
    return this.upstreamSelection.tunnelServer.count;
  }

  /** Version of the active configuration; undefined before the first. */
  get version(): number | undefined {
    return this.state.routes.version;
  }

  /** Memory reserved for request bodies, and the number of requests waiting for it. */
  get bodyMemory(): BodyMemory {
    const {reservedBytes: takenBytes, waitingCount: waiting} = this.bodies;
    return {reservedBytes: takenBytes, waiting};
  }

  /** Memory reserved for responses that are buffered until they are complete. */
  get bufferedResponseBytes(): number {
    return this.responseMemory.reservedBytes;
  }

  get upstreamCount(): number {
    return this.state.upstreamCount;
  }

  /** Starts listening and joins the fleet; resolves with the bound ports. */
  async start(): Promise<HostPorts> {
    const {settings, logger} = this.parts;
    const [callers, readiness, peers, metrics] = await Promise.all([
      this.gateway.listen(settings.callers),
      this.readiness.listen(settings.readiness),
      this.relay.listen(settings.peers),
      this.metricsServer.listen(settings.metrics),
    ]);
    const address = `${settings.peers.ip}:${peers}`;
    await this.datagrams.bind(address);
    const ports = {callers, readiness, peers, metrics};
    logger.info({event: 'start', host: settings.host, ports}, 'listening');
    this.upstreamSelection.start(address);
    this.quotas.start(address);
    this.member.start(address);
    this.crashHistory.start();
    this.overload.start(address);
    return ports;
  }

  /**
   * Shuts down within the grace period: becomes unready at once, later refuses new
   * requests, and closes once those in flight have ended.
   */
  async stop(): Promise<void> {
    if (this.stopping) {
      return;
    }
    this.stopping = true;
    const {logger, settings, clock} = this.parts;
    const startedAt = clock.now();
    const plan = planShutdown(settings.graceMs);
    logger.info({event: 'stop', host: settings.host}, 'stopping');
    this.relay.redirectFollowers();
    this.gateway.setPhase('announced');
    const controller = new AbortController();
    const {signal} = controller;
    const {tunnelServer} = this.upstreamSelection;
    const announced = tunnelServer.announceEnd(signal);
    const drained = sleep(plan.openingTunnelsMs).then(() =>
      tunnelServer.drain(signal),
    );
    await sleep(plan.acceptingMs);
    this.gateway.finishBy(startedAt + plan.respondAfterMs);
    const finished = Promise.all([this.gateway.close(), drained]);
    const finishBy = (afterMs: Milliseconds): Promise<unknown> =>
      Promise.race([finished, sleep(startedAt + afterMs - clock.now())]);
    await finishBy(plan.respondAfterMs);
    this.gateway.respondToUnanswered();
    await finishBy(plan.closeAfterMs);
    this.gateway.abortStreams();
    controller.abort();
    await announced;
    this.quotas.handOverAll();
    await this.closeAll();
    logger.info(
      {event: 'stop', unfinished: this.gateway.inFlightCount},
      'stopped',
    );
  }

  /** Stops at once and aborts requests in flight. */
  async stopNow(): Promise<void> {
    this.stopping = true;
    this.gateway.closeNow();
    await this.closeAll();
  }

  /** Tunnels go first: the server that accepted them waits for all its connections. */
  private closeAll(): Promise<void> {
    this.upstreamSelection.tunnelServer.close();
    return this.lifeCycle.close();
  }

  private gauges(): HostGauges {
    const {state} = this;
    return {
      ready: state.isComplete && !this.stopping,
      isReader: this.isReader,
      version: state.routes.version,
      isBehind: state.isBehind,
      ageMs: state.ageMs,
      upstreams: state.upstreamCount,
      evacuated: state.evacuations.dataCentres.size,
      hosts: state.size.estimate,
      inFlight: this.gateway.inFlightCount,
      downloads: this.downloads.load.inFlight,
      downloadLinkMs: this.downloads.load.linkMs,
      looking: this.upstreamSelection.searchCount,
      rateLimited: this.upstreamSelection.rateLimitedCount,
      backoffs: this.upstreamSelection.backoffCount,
      cutOff: this.cutOffServices.length,
      tunnels: this.upstreamSelection.tunnelServer.count,
      suspects: this.crashHistory.quarantine.size,
      quarantined: this.crashHistory.quarantine.quarantinedCount,
      endedInstances: this.crashHistory.quarantine.confirmedCount,
    };
  }

  private isReady(): boolean {
    const ready = this.state.isComplete && !this.stopping;
    if (ready !== this.wasReady) {
      this.wasReady = ready;
      this.parts.logger.info({event: 'readiness', ready}, 'readiness');
    }
    return ready;
  }

  private createRelay(): RelayServer {
    return this.lifeCycle.adopt(
      'relay',
      new RelayServer(this.state, {
        heartbeat: () => this.member.heartbeat(),
        admit: asker => this.member.admit(asker),
        released: follower => this.member.released(follower),
        alternativePeers: () => this.member.alternativePeers(),
        handleUpgrade: (request, socket) =>
          this.upstreamSelection.tunnelServer.handleUpgrade(request, socket),
        reportError: this.reportError,
      }),
      one => one.close(),
    );
  }

  private createMember(): FleetMember {
    const {settings, store, clock, random, logger, metrics} = this.parts;
    const {dataCentre, introducers, firstStart, linkMbps} = settings;
    const {state, datagrams} = this;
    return this.lifeCycle.adopt(
      'fleet member',
      new FleetMember({
        dataCentre,
        introducers,
        firstStart,
        linkMbps,
        budget: propagationBudget(settings.changeBoundMs),
        store,
        state,
        datagrams,
        clock,
        random,
        logger,
        topics: [this.crashHistory.topic],
        onBadRecord: sort => metrics.countBadRecord(sort),
        onHeartbeatDue: () => this.relay.sendHeartbeat(),
        onFollowerSilent: follower => this.relay.disconnect(follower),
        reportError: this.reportError,
      }),
      one => one.close(),
    );
  }

  /** Only the reader writes the crash records again: other hosts would write the same. */
  private handleStoreRestore(): void {
    if (this.isReader) {
      this.crashHistory.saveAgain();
    }
  }

  private createCrashHistory(): CrashHistory {
    const {store, clock, random, logger} = this.parts;
    const {datagrams} = this;
    const peers = (): readonly string[] => this.member.peers;
    return this.lifeCycle.adopt(
      'crash history',
      new CrashHistory({datagrams, store, peers, clock, random, logger}),
      one => one.close(),
    );
  }

  private createQuotas(): QuotaExchange {
    const {settings, clock, random, logger} = this.parts;
    const {state, datagrams} = this;
    return this.lifeCycle.adopt(
      'quotas',
      new QuotaExchange({
        datagrams,
        state,
        term: () => this.member.grantorTerm,
        tolerance: settings.quotaTolerance,
        firstStart: settings.firstStart,
        clock,
        wallClock: systemWallClock,
        random,
        logger,
      }),
      one => one.close(),
    );
  }

  private createOverloadExchange(): OverloadExchange {
    const {state, datagrams} = this;
    return this.lifeCycle.adopt(
      'overload exchange',
      new OverloadExchange({
        ...this.parts,
        state,
        datagrams,
        neighbours: () => this.member.neighbours,
        freeShare: service => this.upstreamSelection.freeShare(service),
      }),
      one => one.close(),
    );
  }

  private createGateway(): GatewayServer {
    const {clock, random, logger, metrics} = this.parts;
    const split = new TrafficSplit(random);
    this.state.subscribe(update => {
      if (update.kind === 'table') {
        split.reset();
      }
    });
    const log = new RequestLog(logger, clock, metrics);
    const {upstreamClient, work} = this.upstreamSelection;
    return new GatewayServer({
      dataCentre: this.parts.settings.dataCentre,
      maxConnections: this.limits.maxConnections,
      connectionBytes: this.limits.connectionBytes,
      state: this.state,
      upstreamClient,
      crashes: new CrashDetector({
        upstreamClient,
        state: this.state,
        crashHistory: this.crashHistory,
        metrics,
        log,
        logger,
      }),
      work,
      stalls: new StallDetector(),
      bodies: this.bodies,
      responseMemory: this.responseMemory,
      downloads: this.downloads,
      options: DEFAULT_OPTIONS,
      schedulerOf: service => this.upstreamSelection.schedulerOf(service),
      split,
      quotas: this.quotas,
      admission: this.overload.control,
      retries: this.retries,
      unknownHeaders: new UnknownHeaders(logger),
      metrics,
      logger,
      reportError: this.reportError,
      log,
      clock,
    });
  }

  /** Logs the counts of each second in which there was activity. */
  private logActivity(): void {
    const activity = this.parts.metrics.takeActivity();
    if (activity) {
      const looking = this.upstreamSelection.searchCount;
      this.parts.logger.info(
        {
          event: 'activity',
          ...activity,
          looking,
          hosts: this.state.size.settledEstimate,
          retryBudgets: this.retries.usage,
        },
        'activity',
      );
    }
  }

  private ownTimer(
    name: string,
    intervalMs: Milliseconds,
    action: () => void,
  ): void {
    const timer = setInterval(action, intervalMs);
    timer.unref();
    this.lifeCycle.adopt(name, timer, one => clearInterval(one));
  }
}
