/** An entry host on the platform: its parts put together and stopped in order. */

import type {Logger} from 'pino';
import {WindowBudget} from '../decisions/retries/index.js';
import {TrafficSplit} from '../decisions/routes/index.js';
import {FleetMember, FleetState, RelayServer} from '../fleet/index.js';
import {
  GatewayMetrics,
  GatewayServer,
  Placer,
  ReadinessServer,
} from '../gateway/index.js';
import {LifeCycle} from '../lifecycle/index.js';
import type {HostSettings, Store} from '../platform/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';

/** Share of the fleet's repeats that hosts spend, with room for edges. */
const RETRY_SHARE = 0.85;
/** Share of the fleet's repeats beyond the ratio that hosts spend. */
const RESERVE_SHARE = 0.5;
/** The platform takes a host out after two questions, one a second. */
const ANNOUNCED_MS: Milliseconds = 2_600;
/** What begins later could not be finished within the grace. */
const FINISH_SHARE = 0.5;
/** Time kept for closing before the platform kills the process. */
const LAST_MS: Milliseconds = 300;
const PRUNE_INTERVAL_MS: Milliseconds = 500;

export interface GatewayHostParts {
  readonly settings: HostSettings;
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export class GatewayHost {
  private readonly lifeCycle: LifeCycle;
  private readonly state: FleetState;
  private readonly member: FleetMember;
  private readonly relay: RelayServer;
  private readonly gateway: GatewayServer;
  private readonly readiness: ReadinessServer;
  private readonly placer: Placer;
  private readonly budgets = new Map<string, WindowBudget>();
  private stopping = false;
  private wasReady = false;

  constructor(private readonly parts: GatewayHostParts) {
    const {settings, clock, random, logger, store} = parts;
    const address = `${settings.peers.ip}:${settings.peers.port}`;
    const {dataCentre} = settings;
    this.lifeCycle = new LifeCycle(logger);
    this.state = this.lifeCycle.own(
      'state',
      new FleetState(address, clock, logger),
      one => one.close(),
    );
    const metrics = new GatewayMetrics();
    this.placer = this.lifeCycle.own(
      'upstream connections',
      new Placer({
        state: this.state,
        dataCentre,
        clock,
        random,
        logger,
        metrics,
      }),
      one => one.close(),
    );
    this.relay = this.lifeCycle.own('relay', new RelayServer(this.state), one =>
      one.close(),
    );
    this.member = this.lifeCycle.own(
      'fleet member',
      new FleetMember({
        address,
        dataCentre,
        store,
        state: this.state,
        clock,
        random,
        logger,
      }),
      one => one.close(),
    );
    this.readiness = this.lifeCycle.own(
      'readiness',
      new ReadinessServer(() => this.isReady()),
      one => one.close(),
    );
    const split = new TrafficSplit(random);
    this.state.listen(update => {
      if (update.kind === 'table') {
        split.reset();
      }
    });
    this.gateway = new GatewayServer({
      state: this.state,
      placer: this.placer,
      split,
      budgetOf: service => this.budgetOf(service),
      retryReserve: () => this.retryReserve(),
      metrics,
      logger,
      clock,
      random,
    });
    this.ownTimer();
  }

  async start(): Promise<void> {
    const {settings, logger} = this.parts;
    await Promise.all([
      this.gateway.listen(settings.callers),
      this.readiness.listen(settings.readiness),
      this.relay.listen(settings.peers),
    ]);
    logger.info({event: 'start', host: settings.host}, 'listening');
    await this.member.start();
  }

  /**
   * Stops within the grace: unready at once, then no new requests, then
   * nothing once the last is answered.
   */
  async stop(): Promise<void> {
    if (this.stopping) {
      return;
    }
    this.stopping = true;
    const {logger, settings, clock} = this.parts;
    const startedAt = clock.now();
    logger.info({event: 'stop', host: settings.host}, 'stopping');
    this.gateway.setPhase('announced');
    await sleep(Math.min(ANNOUNCED_MS, settings.graceMs * FINISH_SHARE));
    this.gateway.setPhase('finishing');
    const left = settings.graceMs - LAST_MS - (clock.now() - startedAt);
    await Promise.race([this.gateway.close(), sleep(left)]);
    await this.lifeCycle.close();
    logger.info(
      {event: 'stop', unfinished: this.gateway.inFlightCount},
      'stopped',
    );
  }

  private isReady(): boolean {
    const ready = this.state.isComplete && !this.stopping;
    if (ready !== this.wasReady) {
      this.wasReady = ready;
      this.parts.logger.info({event: 'readiness', ready}, 'readiness');
    }
    return ready;
  }

  private budgetOf(service: string): WindowBudget {
    const known = this.budgets.get(service);
    if (known) {
      return known;
    }
    const {clock, settings} = this.parts;
    const budget = new WindowBudget(
      clock,
      settings.retryWindowMs,
      settings.retryRatio * RETRY_SHARE,
    );
    this.budgets.set(service, budget);
    return budget;
  }

  /** This host's part of the repeats that the fleet may make on top. */
  private retryReserve(): number {
    const {hostCount} = this.state;
    const {retrySlack} = this.parts.settings;
    return hostCount > 0 ? (retrySlack * RESERVE_SHARE) / hostCount : 0;
  }

  private ownTimer(): void {
    const timer = setInterval(() => this.placer.prune(), PRUNE_INTERVAL_MS);
    timer.unref();
    this.lifeCycle.own('prune timer', timer, one => clearInterval(one));
  }
}

function sleep(ms: Milliseconds): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
}
