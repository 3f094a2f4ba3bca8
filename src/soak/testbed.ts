/** A fleet of real host processes with a simulated store and upstreams. */

import {OPERATOR_TOPIC, UPSTREAM_TOPIC} from '../platform/index.js';
import type {CustomerSpec, StoreEndpoint} from '../standins/index.js';
import {
  ReportingUpstream,
  StoreServer,
  configurationRecord,
  routesOf,
  upstreamRecord,
} from '../standins/index.js';
import type {Milliseconds, Random} from '../time/index.js';
import {seededRandom, sleep} from '../time/index.js';
import {ROUTE_HOSTNAME} from './callers.js';
import {CUSTOMERS} from './customers.js';
import {
  COLD_PER_SECOND,
  HARMFUL_TARGET,
  FAULT_RECOVERY_MS,
} from './constants.js';
import type {LinkFault} from './fault_proxy.js';
import {FaultProxy} from './fault_proxy.js';
import {MIN_CALLER_MBPS, MIN_UPSTREAM_MBPS, drawLink, mbpsOf} from './link.js';
import {responsePadding, transferRoutes, withoutPadding} from './transfers.js';
import type {History} from './history.js';
import type {Link} from './link.js';
import {HostProcess} from './host_process.js';

const SERVICE = 'listings';
export const DATA_CENTRES = ['east', 'west', 'north'];
const WORK_MS: Milliseconds = 25;
/**
 * Work where the configuration has customers. One process runs callers and upstreams of
 * all jobs: bursts of more requests a second than this makes necessary would stall it.
 */
const CUSTOMER_WORK_MS: Milliseconds = 200;
/** Time from an upstream's crash until its replacement starts. */
const RESTART_DELAY_MS: Milliseconds = 1_500;
/** Separate random sequences: a seed's faults are the same without links. */
const LINK_SEED_OFFSET = 900_000;
const UPSTREAM_LINK_SEED_OFFSET = 1_000_000;
const LOOPBACK_IP = '127.0.0.1';

export interface TestbedSize {
  readonly hosts: number;
  readonly upstreams: number;
  /** Number of drills with customers; without any, there are no customers. */
  readonly customers: number;
  /** Number of drills with links; without any, hosts and upstreams have no links of their own. */
  readonly links: number;
}

/** A link between callers and one host. */
export interface CallerLink {
  readonly proxy: FaultProxy;
  readonly ip: string;
  readonly port: number;
}

/** One host's connection to the store: a store endpoint behind a fault proxy. */
export interface StoreLink {
  readonly endpoint: StoreEndpoint;
  readonly proxy: FaultProxy;
}

export interface SoakUpstream {
  readonly server: ReportingUpstream;
  readonly proxy: FaultProxy;
  readonly address: string;
  readonly dataCentre: string;
}

export class Testbed {
  readonly random: Random;
  readonly store = new StoreServer();
  readonly hosts: HostProcess[] = [];
  readonly storeLinks: StoreLink[] = [];
  /** By host; empty if hosts have no links of their own. */
  readonly callerLinks: CallerLink[] = [];
  /** Properties of these links. */
  private links: readonly Link[] = [];
  private readonly upstreamRandom: Random;
  /** Upstreams in service, excluding those that leave or have crashed. */
  upstreams: readonly SoakUpstream[] = [];
  private readonly allUpstreams: SoakUpstream[] = [];
  private currentVersion = 0;
  private nextUpstream = 1;
  /** The last value written for each key, by topic; undefined if removed. */
  private readonly latestValues = new Map<
    string,
    Map<string, string | undefined>
  >();
  /** Further entries of the configurations that are written. */
  extraEntries: readonly unknown[] = [];
  /** Applied to each upstream that is added. */
  private readonly activeCuts = new Set<(upstream: SoakUpstream) => void>();
  private closed = false;

  constructor(
    readonly history: History,
    private readonly seed: number,
    private readonly folder: string,
  ) {
    this.random = seededRandom(seed);
    this.upstreamRandom = seededRandom(seed + UPSTREAM_LINK_SEED_OFFSET);
  }

  get version(): number {
    return this.currentVersion;
  }

  get hasCustomers(): boolean {
    return this.history.customers.specs.length > 0;
  }

  async build({
    hosts,
    upstreams,
    customers,
    links,
  }: TestbedSize): Promise<void> {
    if (links > 0) {
      const random = seededRandom(this.seed + LINK_SEED_OFFSET);
      this.links = Array.from({length: hosts}, () =>
        drawLink(random, MIN_CALLER_MBPS),
      );
    }
    this.configure(customers > 0 ? CUSTOMERS : []);
    for (let i = 0; i < upstreams; i += 1) {
      await this.addUpstream();
    }
    for (let i = 0; i < hosts; i += 1) {
      await this.addHost(i);
    }
    await Promise.all(this.hosts.map(host => host.start()));
    await Promise.all(
      this.links.map((link, index) => this.addLink(index, link)),
    );
  }

  /** Writes the next configuration version, with a route that only this version has. */
  configure(customers = this.history.customers.specs): void {
    this.currentVersion += 1;
    const routes = routesOf(ROUTE_HOSTNAME, SERVICE, {
      '/lookup/': 'idempotent',
      '/order/': 'non_idempotent',
      [versionRoutePrefix(this.currentVersion)]: 'idempotent',
    });
    const record = configurationRecord(
      this.currentVersion,
      [
        ...routes,
        ...(this.links.length > 0
          ? transferRoutes(ROUTE_HOSTNAME, SERVICE)
          : []),
      ],
      [SERVICE],
      {},
      {coldPerSecond: COLD_PER_SECOND},
      customers,
      this.extraEntries,
    );
    this.write(OPERATOR_TOPIC, 'config', record);
    this.history.customers.noteConfiguration(
      customers,
      this.history.clock.now(),
    );
  }

  /** Writes a configuration in which one customer differs. */
  changeCustomer(
    name: string,
    change: (customer: CustomerSpec) => CustomerSpec,
  ): void {
    this.configure(
      this.history.customers.specs.map(one =>
        one.name === name ? change(one) : one,
      ),
    );
  }

  async addUpstream(): Promise<void> {
    const id = `i-${this.nextUpstream}`;
    this.nextUpstream += 1;
    const server = new ReportingUpstream(id, run => {
      const bytes = this.history.sent.get(run.id)?.transfer?.paddingBytes ?? 0;
      const body = withoutPadding(Buffer.from(run.body, 'latin1'), bytes);
      this.history.noteRun({...run, body, upstream: id});
      if (run.target === HARMFUL_TARGET) {
        void this.crash(upstream);
      }
    });
    server.subscribeToArrivals(run => this.history.noteArrival(run.id));
    server.extraBytesOf = ({target}) => responsePadding(target);
    server.workMs = this.workMs;
    server.refusesWhenFull = this.hasCustomers;
    server.reportsActiveRequests = this.hasCustomers;
    server.onColdOverload = () => this.history.overloadedWhileCold.push(id);
    const [ip = LOOPBACK_IP, port] = (await server.listen()).split(':');
    const link =
      this.links.length > 0
        ? drawLink(this.upstreamRandom, MIN_UPSTREAM_MBPS)
        : undefined;
    const proxy = new FaultProxy({ip, port: Number(port)}, link);
    const address = `${LOOPBACK_IP}:${await proxy.listen()}`;
    const dataCentre = dataCentreOf(this.nextUpstream);
    const upstream = {server, proxy, address, dataCentre};
    this.allUpstreams.push(upstream);
    this.activeCuts.forEach(apply => apply(upstream));
    this.history.dataCentres.set(id, dataCentre);
    this.setUpstreams([...this.upstreams, upstream]);
    this.register(upstream, 'ready');
  }

  /**
   * Cuts paths from hosts to upstreams, also to upstreams that start meanwhile.
   *
   * @param drawsPath whether a path is cut
   * @returns function that ends the cut
   */
  cutPaths(
    hosts: readonly number[],
    fault: LinkFault,
    drawsPath: () => boolean,
  ): () => void {
    const ips = hosts.flatMap(host => this.hosts[host]?.options.ip ?? []);
    const apply = ({proxy}: SoakUpstream): void =>
      ips
        .filter(() => drawsPath())
        .forEach(ip => proxy.setClientFault(ip, fault));
    this.allUpstreams.forEach(apply);
    this.activeCuts.add(apply);
    return () => {
      this.activeCuts.delete(apply);
      // Overlapping cuts of a host end together.
      this.allUpstreams.forEach(({proxy}) =>
        ips.forEach(ip => proxy.setClientFault(ip, 'none')),
      );
    };
  }

  /** Registers an upstream as draining; it continues to serve. */
  drain(upstream: SoakUpstream): void {
    this.excludeFromFaults(upstream);
    this.register(upstream, 'draining');
    this.history.drainRecordedAt.set(
      upstream.server.id,
      this.history.clock.now(),
    );
  }

  /** Excludes an upstream from further faults, drills and announcements. */
  excludeFromFaults(upstream: SoakUpstream): void {
    this.setUpstreams(this.upstreams.filter(one => one !== upstream));
  }

  remove({server}: SoakUpstream): void {
    this.write(UPSTREAM_TOPIC, server.id, undefined);
  }

  /** Writes the operator's record that evacuates a data centre. */
  evacuate(dataCentre: string): void {
    this.write(OPERATOR_TOPIC, `evacuate/${dataCentre}`, '{}');
    this.history.noteEvacuation(dataCentre);
  }

  endEvacuation(dataCentre: string): void {
    this.history.noteEvacuationEnd(dataCentre);
    this.write(OPERATOR_TOPIC, `evacuate/${dataCentre}`, undefined);
  }

  /** Rewrites the last value of a key that the store has lost. */
  rewrite(topic: string, key: string): void {
    const values = this.latestValues.get(topic);
    if (values?.has(key)) {
      this.store.put(topic, key, values.get(key));
    }
  }

  /** Stops an upstream while it executes a request, and replaces it after a delay. */
  private async crash(upstream: SoakUpstream): Promise<void> {
    await sleep(WORK_MS / 2);
    const at = this.history.clock.now();
    this.history.upstreamFaults.push({from: at, to: at + FAULT_RECOVERY_MS});
    this.history.noteEvent(`${upstream.server.id} crashes`);
    this.excludeFromFaults(upstream);
    await Promise.all([upstream.proxy.close(), upstream.server.close()]);
    await sleep(RESTART_DELAY_MS);
    if (!this.closed) {
      this.remove(upstream);
      await this.addUpstream();
    }
  }

  /** Records a fault that excuses only this host from knowing of changes. */
  noteStoreLinkFault(host: number, durationMs: Milliseconds): void {
    const from = this.history.clock.now();
    this.history.noteStoreLinkFault(host, {
      from,
      to: from + durationMs + FAULT_RECOVERY_MS,
    });
  }

  /** Clears all faults of the store, upstreams and links. */
  clearFaults(): void {
    this.store.fault = 'none';
    for (const {endpoint, proxy} of this.storeLinks) {
      endpoint.fault = 'none';
      endpoint.delayMs = 0;
      endpoint.lostTopics.clear();
      proxy.fault = 'none';
    }
    this.store.maxPageBytes = Infinity;
    this.extraEntries = [];
    this.callerLinks.forEach(({proxy}) => (proxy.fault = 'none'));
    for (const {server, proxy} of this.allUpstreams) {
      server.fault = 'none';
      server.healthy = true;
      server.rateLimit = undefined;
      proxy.fault = 'none';
    }
  }

  async close(): Promise<void> {
    this.closed = true;
    this.hosts.forEach(host => host.signal('SIGKILL'));
    await Promise.all(this.hosts.map(host => host.exited()));
    const links = [...this.storeLinks, ...this.callerLinks];
    await Promise.all(links.map(({proxy}) => proxy.close()));
    await Promise.all(
      this.allUpstreams.flatMap(({server, proxy}) => [
        proxy.close(),
        server.close(),
      ]),
    );
    await this.store.close();
  }

  private get workMs(): Milliseconds {
    return this.hasCustomers ? CUSTOMER_WORK_MS : WORK_MS;
  }

  private setUpstreams(upstreams: readonly SoakUpstream[]): void {
    this.upstreams = upstreams;
    const slots = upstreams.reduce(
      (sum, one) => sum + one.server.load.slots,
      0,
    );
    const perSecond = (slots * 1_000) / this.workMs;
    const at = this.history.clock.now();
    this.history.customers.capacities.push({at, perSecond});
  }

  private async addHost(index: number): Promise<void> {
    const endpoint = await this.store.addEndpoint();
    const proxy = new FaultProxy({ip: LOOPBACK_IP, port: endpoint.port});
    const link = this.links[index];
    this.storeLinks.push({endpoint, proxy});
    this.hosts.push(
      new HostProcess(
        {
          name: `entry-${index}`,
          ip: `127.1.${this.seed % 250}.${index + 2}`,
          dataCentre: dataCentreOf(index),
          storePort: await proxy.listen(),
          folder: this.folder,
          linkMbps: link && mbpsOf(link.toClient),
        },
        event => this.history.noteEvent(event),
      ),
    );
  }

  private async addLink(index: number, link: Link): Promise<void> {
    const host = this.hosts[index];
    if (host?.ports) {
      const target = {ip: host.options.ip, port: host.ports.callers};
      const proxy = new FaultProxy(target, link);
      const port = await proxy.listen();
      this.callerLinks[index] = {proxy, ip: LOOPBACK_IP, port};
    }
  }

  /** Writes a record to the store and keeps its value for `rewrite`. */
  private write(topic: string, key: string, value: string | undefined): void {
    const values = this.latestValues.get(topic) ?? new Map();
    this.latestValues.set(topic, values.set(key, value));
    this.store.put(topic, key, value);
  }

  private register(
    {server, address, dataCentre}: SoakUpstream,
    state: 'ready' | 'draining',
  ): void {
    const seq = state === 'ready' ? 1 : 2;
    const record = upstreamRecord(address, SERVICE, dataCentre, state, {seq});
    this.write(UPSTREAM_TOPIC, server.id, record);
  }
}

/** Path prefix of the route that only this version has. */
export function versionRoutePrefix(version: number): string {
  return `/v${version}/`;
}

function dataCentreOf(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? '';
}
