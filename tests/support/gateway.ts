/** Starts a store, upstreams and entry hosts that use the platform's protocol. */

import type {IncomingMessage} from 'node:http';
import {request} from 'node:http';
import type {Logger} from 'pino';
import {pino} from 'pino';
import {GatewayMetrics} from '../../src/gateway/index.js';
import type {HostPorts} from '../../src/host/types.js';
import {GatewayHost} from '../../src/host/gateway_host.js';
import type {HostSettings} from '../../src/platform/index.js';
import {FaultProxy} from '../../src/soak/index.js';
import {
  OPERATOR_TOPIC,
  StoreClient,
  UPSTREAM_TOPIC,
} from '../../src/platform/index.js';
import type {
  CustomerSpec,
  InstanceSpec,
  LimitsSpec,
  RouteSpec,
  ServiceSpec,
  StoreEndpoint,
} from '../../src/standins/index.js';
import {
  ReportingUpstream,
  StoreServer,
  configurationRecord,
  upstreamRecord,
} from '../../src/standins/index.js';
import {seededRandom, systemClock} from '../../src/time/index.js';

const ANY_PORT = {ip: '127.0.0.1', port: 0};

/** An upstream that hosts reach through a proxy. */
export interface ProxiedUpstream {
  readonly server: ReportingUpstream;
  readonly proxy: FaultProxy;
}

export interface RunningHost {
  readonly host: GatewayHost;
  readonly ports: HostPorts;
  readonly store: StoreClient;
  /** This host's own endpoint of the store, for faults of its store connection only. */
  readonly storeEndpoint: StoreEndpoint;
}

/** Options for the start of a host. */
export interface StartOptions {
  /** Loopback address of the host, by which proxies tell hosts apart. */
  readonly ip?: string;
  /** Port for peers; any by default. */
  readonly peers?: number;
  readonly firstStart?: boolean;
  /** Capacity of the host's network link, in Mbit/s. */
  readonly linkMbps?: number;
  /** Memory of the host's machine. */
  readonly memoryMb?: number;
  readonly maxDescriptors?: number;
  /** Hosts that it contacts first; by default the one that started first. */
  readonly introducers?: readonly string[];
}

export interface Reply {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

export interface Call {
  readonly method?: string;
  readonly path?: string;
  readonly host?: string;
  readonly id?: string;
  readonly body?: string;
  /** Key of the customer. */
  readonly key?: string;
  /** Further headers. */
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeLeftMs?: number;
  /** Address that the caller connects from. */
  readonly from?: string;
}

export class GatewaySystem {
  readonly storeServer = new StoreServer();
  readonly hosts: RunningHost[] = [];
  readonly upstreams: ReportingUpstream[] = [];
  private readonly proxies: FaultProxy[] = [];
  private nextId = 1;

  /** @param logger logger of all hosts; silent by default */
  constructor(private readonly logger: Logger = pino({level: 'silent'})) {}

  /** Stores a configuration; by default one idempotent and one non-idempotent route. */
  configure(
    version: number,
    routes: readonly RouteSpec[] = DEFAULT_ROUTES,
    limits: LimitsSpec = {},
    service: ServiceSpec = {},
    customers: readonly CustomerSpec[] = [],
  ): void {
    this.storeServer.put(
      OPERATOR_TOPIC,
      'config',
      configurationRecord(
        version,
        routes,
        ['listings', 'swaps'],
        limits,
        service,
        customers,
      ),
    );
  }

  async addUpstream(
    id: string,
    service = 'listings',
  ): Promise<ReportingUpstream> {
    const upstream = new ReportingUpstream(id);
    this.upstreams.push(upstream);
    const address = await upstream.listen();
    this.register(id, address, 'ready', service);
    return upstream;
  }

  /** Adds an upstream behind a proxy that can cut single hosts off from it. */
  async addProxiedUpstream(
    id: string,
    service = 'listings',
  ): Promise<ProxiedUpstream> {
    const server = new ReportingUpstream(id);
    this.upstreams.push(server);
    const port = Number((await server.listen()).split(':')[1]);
    const proxy = new FaultProxy({ip: '127.0.0.1', port});
    this.proxies.push(proxy);
    const address = `127.0.0.1:${await proxy.listen()}`;
    this.register(id, address, 'ready', service);
    return {server, proxy};
  }

  register(
    id: string,
    address: string,
    state: 'ready' | 'draining',
    service = 'listings',
    life: InstanceSpec = {},
  ): void {
    this.storeServer.put(
      UPSTREAM_TOPIC,
      id,
      upstreamRecord(address, service, 'east', state, life),
    );
  }

  async startHost(
    dataCentre = 'east',
    {
      ip = '127.0.0.1',
      peers = 0,
      firstStart = true,
      introducers,
      linkMbps = 100,
      memoryMb = 350,
      maxDescriptors = 4_096,
    }: StartOptions = {},
  ): Promise<RunningHost> {
    const [first] = this.hosts;
    const usual = first ? [`127.0.0.1:${first.ports.peers}`] : [];
    const storeEndpoint = await this.storeServer.addEndpoint();
    const store = new StoreClient({ip: '127.0.0.1', port: storeEndpoint.port});
    const settings: HostSettings = {
      host: `entry-${this.hosts.length}`,
      ip,
      dataCentre,
      regions: new Map(),
      firstStart,
      callers: ANY_PORT,
      readiness: ANY_PORT,
      peers: {...ANY_PORT, port: peers},
      introducers: introducers ?? usual,
      linkMbps,
      memoryMb,
      maxDescriptors,
      metrics: ANY_PORT,
      store: {ip: '127.0.0.1', port: storeEndpoint.port},
      changeBoundMs: 2_000,
      graceMs: 2_000,
      retryRatio: 0.2,
      retryWindowMs: 10_000,
      retrySlack: 20,
      probesPerSecond: 60,
      coldOverage: 1.5,
      coldSlack: 8,
      quotaTolerance: {windowMs: 5_000, overage: 0.1, slack: 20},
    };
    const host = new GatewayHost({
      settings,
      store,
      clock: systemClock,
      random: seededRandom(this.hosts.length + 1),
      logger: this.logger,
      metrics: new GatewayMetrics(),
    });
    const running = {host, store, storeEndpoint, ports: await host.start()};
    this.hosts.push(running);
    return running;
  }

  async startReadyHost(
    dataCentre?: string,
    options?: StartOptions,
  ): Promise<RunningHost> {
    const running = await this.startHost(dataCentre, options);
    await until(async () => {
      const reply = await get(running.ports.readiness, '/api/readiness');
      return reply.status === 200;
    });
    return running;
  }

  call({ports}: RunningHost, call: Call = {}): Promise<Reply> {
    const id = call.id ?? `request-${this.nextId}`;
    this.nextId += 1;
    const timeLeft = call.timeLeftMs ?? 2_000;
    return send(ports.callers, call, {
      host: call.host ?? 'shop.example',
      'cyclamenlever-request-id': id,
      'cyclamenlever-deadline-ms': String(timeLeft),
      ...(call.key ? {authorization: `Bearer ${call.key}`} : {}),
      ...call.headers,
    });
  }

  async close(): Promise<void> {
    await Promise.all(this.hosts.map(({host}) => host.stopNow()));
    this.hosts.forEach(({store}) => store.close());
    await Promise.all(this.proxies.map(proxy => proxy.close()));
    await Promise.all(this.upstreams.map(upstream => upstream.close()));
    await this.storeServer.close();
  }
}

export const DEFAULT_ROUTES: readonly RouteSpec[] = [
  {path_prefix: '/lookup/', kind: 'idempotent'},
  {path_prefix: '/order/', kind: 'non_idempotent'},
];

/** Polls until the condition holds. */
export async function until(
  reached: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!(await reached())) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

export function get(port: number, path: string): Promise<Reply> {
  return send(port, {path}, {host: 'any'});
}

function send(
  port: number,
  call: Call,
  headers: Record<string, string>,
): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: '127.0.0.1',
      port,
      method: call.method ?? 'GET',
      path: call.path ?? '/lookup/1',
      headers,
      localAddress: call.from,
      agent: false,
    });
    outgoing.on('error', reject);
    outgoing.on('response', answer => {
      const chunks: Buffer[] = [];
      answer.on('error', reject);
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('end', () => {
        const body = Buffer.concat(chunks).toString();
        resolve({
          status: answer.statusCode ?? 0,
          headers: answer.headers,
          body,
        });
      });
    });
    outgoing.end(call.body);
  });
}
