/** An entry host: all parts put together and taken down in order. */

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

/** What a host stands on; tests and the quick start pass stand-ins. */
export interface EntryHostParts {
  readonly settings: Settings;
  readonly log: LogService;
  readonly hostList: HostList;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Larger after every restart. */
  readonly incarnation: number;
}

/** The ports in use. */
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
  private readonly orders: OrderClaimer;
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
      one => one.close(),
    );
    this.services = this.resources.adopt(
      'services',
      new ServiceDirectory({
        clock,
        random: parts.random,
        distanceTo: name => distanceTo(settings, name),
        maxHosts: settings['max-hosts'],
      }),
      one => one.close(),
    );
    this.fleet = this.resources.adopt('fleet', this.createFleet(), one =>
      one.stop(),
    );
    this.follower = this.resources.adopt(
      'log follower',
      this.createFollower(),
      one => one.stop(),
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
      one => one.stop(),
    );
    this.fleet.attach(this.follower);
    this.hostListPoller = this.resources.adopt(
      'host list watch',
      new HostListPoller(
        parts.hostList,
        leaving => this.services.setLeavingAddresses(leaving),
        clock,
        logger,
      ),
      one => one.stop(),
    );
    this.orders = this.resources.adopt(
      'order desk',
      this.createOrderClaimer(),
      one => one.close(),
    );
    const desk = this.resources.adopt(
      'hand-over desk',
      new HandoverManager(
        {host: settings['host-id'], dataCentre: settings['data-centre']},
        this.fleet.peers,
        clock,
      ),
      one => one.close(),
    );
    this.loadProber = this.resources.adopt(
      'measure desk',
      this.createLoadProber(transport, desk),
      one => one.stop(),
    );
    this.callerServer = this.createCallerServer(transport, desk);
  }

  /** Resources still open; none after `stop`. */
  get openResources(): readonly string[] {
    return this.resources.openNames;
  }

  /** Bytes that crossed the control port, both ways. */
  get controlBytes(): number {
    return this.control?.traffic.bytes ?? 0;
  }

  /** Names of the peers heard of lately. */
  get knownPeers(): readonly string[] {
    const now = this.parts.clock.now();
    return this.fleet.peers.alive(now).map(({statement}) => statement.host);
  }

  /** Changes judged here that are remembered. */
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
      one => one.close(),
    );
    this.control = this.resources.adopt(
      'control port',
      this.createControlServer(),
      one => one.close(),
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
    this.resources.adopt('caller port', this.callerServer, one =>
      one.closeAllConnections(),
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
    logger.info({ports}, 'started');
    return ports;
  }

  /**
   * Stops without cutting off a request: first unready but listening, until
   * the platform's balancer has noticed; then no new connections; then what is
   * in flight ends, up to the limit.
   */
  stop(): Promise<void> {
    this.stopping ??= this.stopGracefully();
    return this.stopping;
  }

  /** Closes the control port alone, as a failure of it would. */
  async stopControl(): Promise<void> {
    await this.control?.close();
  }

  describe(): HostDescription {
    const {settings} = this.parts;
    const {servingStatus: currency} = this.fleet;
    const reason =
      currency.kind === 'current' ? currency.basis : currency.reason;
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
    logger.info('stopping: unready, still listening');
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
        this.orders.onRecord(record, body);
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
    desk: HandoverManager,
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
        desk.countHomeHosts(service.name, service.homes),
    });
  }

  private createCallerServer(
    transport: Transport,
    desk: HandoverManager,
  ): CallerServer {
    const {settings, clock, logger, metrics} = this.parts;
    return new CallerServer({
      handovers: desk,
      orders: this.orders,
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
    const basis = this.fleet.servingStatus;
    const log = basis.kind === 'current' && basis.basis === 'log' ? 0 : 1;
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

/** The address with the port that was really opened: 0 asks for any. */
function withPort(address: string, port: number): string {
  return `${address.slice(0, address.lastIndexOf(':'))}:${port}`;
}
