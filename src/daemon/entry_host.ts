/** An entry host: creates its components and closes them in reverse order. */

import type {Logger} from 'pino';
import {CallerServer} from '../caller/index.js';
import {Checkpointer, LogFollower} from '../configuration/index.js';
import {ControlServer, createRouter} from '../control/index.js';
import {HandoverManager} from '../handover/index.js';
import {ResourceStack} from '../lifecycle/index.js';
import {Metrics} from '../metrics/index.js';
import {LoadProber} from '../measuring/index.js';
import {OrderClaimer} from '../orders/index.js';
import {Fleet} from '../peers/index.js';
import type {HostList, LogService} from '../log_service/index.js';
import type {HostDescription} from '../queries/index.js';
import {ServiceDirectory} from '../service/index.js';
import type {Settings} from '../settings/index.js';
import type {Clock, Milliseconds, Random} from '../time/index.js';
import {sleep} from '../time/index.js';
import type {Transport} from '../transport/index.js';
import {HttpTransport} from '../transport/index.js';
import {AdminServer} from './admin_server.js';
import {HostListPoller} from './host_list_poller.js';
import {Operator} from './operator.js';

/** One-way delay assumed within a data centre, in ms. */
const INTRA_DATA_CENTRE_DELAY_MS: Milliseconds = 0.1;

/** Dependencies of a host; tests and the quick start pass stand-ins. */
export interface EntryHostParts {
  readonly settings: Settings;
  readonly log: LogService;
  readonly hostList: HostList;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Increases with each restart. */
  readonly incarnation: number;
}

/** The ports that are listened on. */
export interface EntryHostPorts {
  readonly caller: number;
  readonly control: number;
  readonly admin: number;
}

export class EntryHost {
  private readonly resources: ResourceStack;
  private readonly services: ServiceDirectory;
  private readonly fleet: Fleet;
  private readonly follower: LogFollower;
  private readonly callerServer: CallerServer;
  private readonly orderClaimer: OrderClaimer;
  private readonly checkpointer: Checkpointer;
  private readonly loadProber: LoadProber;
  private readonly hostListPoller: HostListPoller;
  private control: ControlServer | undefined;
  private draining = false;
  private stopping: Promise<void> | undefined;

  constructor(private readonly parts: EntryHostParts) {
    const {settings, clock, logger} = parts;
    this.resources = new ResourceStack(logger);
    const transport = this.resources.adopt(
      'upstream connections',
      new HttpTransport(),
      resource => resource.close(),
    );
    this.services = this.resources.adopt(
      'services',
      new ServiceDirectory({
        clock,
        random: parts.random,
        distanceTo: name => distanceTo(settings, name),
        maxHosts: settings['max-hosts'],
      }),
      resource => resource.close(),
    );
    this.fleet = this.resources.adopt('fleet', this.createFleet(), resource =>
      resource.stop(),
    );
    this.follower = this.resources.adopt(
      'log follower',
      this.createFollower(),
      resource => resource.stop(),
    );
    this.checkpointer = this.resources.adopt(
      'checkpointer',
      new Checkpointer(parts.log, this.follower, {
        host: settings['host-id'],
        seats: () => this.fleet.seatStates(),
        intervalMs: settings['checkpoint-interval-ms'],
        clock,
        random: parts.random,
        logger,
      }),
      resource => resource.stop(),
    );
    this.fleet.attach(this.follower);
    this.hostListPoller = this.resources.adopt(
      'host list poller',
      new HostListPoller(
        parts.hostList,
        leaving => this.services.setLeavingAddresses(leaving),
        clock,
        logger,
      ),
      resource => resource.stop(),
    );
    this.orderClaimer = this.resources.adopt(
      'order claimer',
      this.createOrderClaimer(),
      resource => resource.close(),
    );
    const handovers = this.resources.adopt(
      'handover manager',
      new HandoverManager(
        {host: settings['host-id'], dataCentre: settings['data-centre']},
        this.fleet.peers,
        clock,
      ),
      resource => resource.close(),
    );
    this.loadProber = this.resources.adopt(
      'load prober',
      this.createLoadProber(transport, handovers),
      resource => resource.stop(),
    );
    this.callerServer = this.createCallerServer(transport, handovers);
  }

  /** Names of the resources that are open; empty after `stop`. */
  get openResources(): readonly string[] {
    return this.resources.openNames;
  }

  /** Bytes sent and received on the control port. */
  get controlBytes(): number {
    return this.control?.traffic.bytes ?? 0;
  }

  /** Names of the peers that count as alive. */
  get knownPeers(): readonly string[] {
    const now = this.parts.clock.now();
    return this.fleet.peers.alive(now).map(({statement}) => statement.host);
  }

  /** Number of configuration changes in the history of this host. */
  get judgedChangeCount(): number {
    return this.follower.store.history().length;
  }

  get isReady(): boolean {
    return !this.draining && this.fleet.servingStatus.kind === 'current';
  }

  async start(): Promise<EntryHostPorts> {
    const {settings, logger} = this.parts;
    const admin = this.resources.adopt(
      'admin port',
      new AdminServer(
        this.parts.metrics,
        () => this.isReady,
        () => this.refreshGauges(),
      ),
      resource => resource.close(),
    );
    this.control = this.resources.adopt(
      'control port',
      this.createControlServer(),
      resource => resource.close(),
    );
    const ports = {
      admin: await admin.listen(...parseAddress(settings['admin-address'])),
      control: await this.control.listen(
        ...parseAddress(settings['control-address']),
      ),
      caller: await this.callerServer.listen(
        ...parseAddress(settings['caller-address']),
      ),
    };
    this.resources.adopt('caller port', this.callerServer, resource =>
      resource.closeAllConnections(),
    );
    this.follower.start();
    this.checkpointer.start();
    this.loadProber.start();
    this.fleet.start({
      caller:
        settings['advertise-caller'] ??
        withPort(settings['caller-address'], ports.caller),
      control:
        settings['advertise-control'] ??
        withPort(settings['control-address'], ports.control),
    });
    this.hostListPoller.start();
    logger.info({ports}, 'host started');
    return ports;
  }

  /**
   * Shuts down gracefully. The host first reports itself unready but keeps
   * listening, so that the platform's balancer can notice; then it accepts no
   * new connections and waits up to `drain-limit-ms` for requests in flight.
   */
  stop(): Promise<void> {
    this.stopping ??= this.stopGracefully();
    return this.stopping;
  }

  /** Closes only the control port, to simulate its failure. */
  async stopControl(): Promise<void> {
    await this.control?.close();
  }

  describe(): HostDescription {
    const {settings} = this.parts;
    const {servingStatus} = this.fleet;
    const reason =
      servingStatus.kind === 'current'
        ? servingStatus.basis
        : servingStatus.reason;
    const services = [...this.services.all];
    return {
      host: settings['host-id'],
      dataCentre: settings['data-centre'],
      ready: this.isReady,
      reason: this.draining ? 'stopping' : reason,
      next: this.follower.store.next,
      upstreams: services.flatMap(service => service.describeUpstreams()),
      requests: services.map(({service, pendingCount, waitingCount}) => ({
        service: service.name,
        pending: pendingCount,
        waiting: waitingCount,
      })),
    };
  }

  private async stopGracefully(): Promise<void> {
    const {settings, logger} = this.parts;
    this.draining = true;
    logger.info('shutting down: not ready, still accepting connections');
    await this.fleet.leave();
    await sleep(settings['drain-wait-ms']);
    const limit = sleep(settings['drain-limit-ms']);
    await Promise.race([this.callerServer.close(), limit]);
    await this.resources.close();
    logger.info('stopped');
  }

  private createFleet(): Fleet {
    const {settings, clock, random, logger, metrics} = this.parts;
    return new Fleet(this.parts.log, {
      identity: {
        host: settings['host-id'],
        dataCentre: settings['data-centre'],
        incarnation: this.parts.incarnation,
      },
      seeds: settings.peers,
      fleetKey: settings['fleet-key'],
      leaseMs: settings['lease-ms'],
      clock,
      random,
      logger,
      countBytes: (sent, received) => {
        metrics.controlBytes.inc({with: 'peers', direction: 'sent'}, sent);
        metrics.controlBytes.inc(
          {with: 'peers', direction: 'received'},
          received,
        );
      },
    });
  }

  private createFollower(): LogFollower {
    const {log, clock, logger} = this.parts;
    const follower: LogFollower = new LogFollower(log, clock, logger, {
      onServicesChanged: services =>
        this.services.refresh(follower.store, services),
      onCheckpoint: checkpoint => {
        this.fleet.onCheckpoint(checkpoint);
        this.checkpointer.onCheckpoint();
      },
      onRecord: (record, body) => {
        this.fleet.onRecord(record, body);
        this.orderClaimer.onRecord(record, body);
        this.loadProber.onRecord(record, body);
      },
    });
    return follower;
  }

  private createOrderClaimer(): OrderClaimer {
    const {settings, clock, logger, log} = this.parts;
    return new OrderClaimer(log, {
      windowMs: settings['claim-window-ms'],
      appendsPerSecond: settings['claim-appends'] / settings['max-hosts'],
      clock,
      logger,
    });
  }

  private createLoadProber(
    transport: Transport,
    handovers: HandoverManager,
  ): LoadProber {
    const {settings, clock, logger, metrics, log, incarnation} = this.parts;
    return new LoadProber(log, {
      host: settings['host-id'],
      incarnation,
      clock,
      logger,
      metrics,
      transport,
      services: this.services,
      homeCountOf: ({service}) =>
        handovers.countHomeHosts(service.name, service.homes),
    });
  }

  private createCallerServer(
    transport: Transport,
    handovers: HandoverManager,
  ): CallerServer {
    const {settings, clock, logger, metrics} = this.parts;
    return new CallerServer({
      handovers,
      orders: this.orderClaimer,
      services: this.services,
      transport,
      metrics,
      logger,
      clock,
      maxHosts: settings['max-hosts'],
      tenantHeader: settings['tenant-header'],
      isInService: () => this.fleet.servingStatus.kind === 'current',
    });
  }

  private createControlServer(): ControlServer {
    const {settings, clock} = this.parts;
    const describe = (): HostDescription => this.describe();
    const operator = new Operator(this.follower, this.fleet, describe, clock);
    const router = createRouter(
      {
        exchange: message => this.fleet.exchange(message),
        snapshot: () => ({
          configuration: this.follower.snapshot(),
          seats: this.fleet.seatStates(),
        }),
        describe,
      },
      operator,
    );
    return new ControlServer(router, {
      fleet: settings['fleet-key'],
      operator: settings['operator-key'],
    });
  }

  private refreshGauges(): void {
    const {metrics} = this.parts;
    metrics.ready.set(this.isReady ? 1 : 0);
    metrics.logOffset.set(this.follower.store.next);
    metrics.logAge.set(this.follower.age / 1000);
    const stale = this.hostListPoller.isStale ? 1 : 0;
    metrics.degraded.set({input: 'host-list'}, stale);
    const status = this.fleet.servingStatus;
    const log = status.kind === 'current' && status.basis === 'log' ? 0 : 1;
    metrics.degraded.set({input: 'log'}, log);
  }
}

function distanceTo(settings: Settings, dataCentre: string): Milliseconds {
  return dataCentre === settings['data-centre']
    ? INTRA_DATA_CENTRE_DELAY_MS
    : (settings.distances[dataCentre] ?? settings['default-distance-ms']);
}

function parseAddress(address: string): [string, number] {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[|\]$/g, '');
  return [host, Number(address.slice(at + 1))];
}

/** Replaces the port by the one listened on, as port 0 stands for any. */
function withPort(address: string, port: number): string {
  return `${address.slice(0, address.lastIndexOf(':'))}:${port}`;
}
