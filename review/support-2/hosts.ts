/** Starts entry hosts as separate processes, by the command of the deploy file. */

import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const START_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 100;
/** Below the range from which the system takes the ports of outgoing connections. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;
const PORT_ATTEMPTS = 50;
const METRICS_PORT = 9_464;

export interface HostOptions {
  readonly name: string;
  /** Loopback address of this host alone. */
  readonly ip: string;
  readonly zone: string;
}

export interface FleetOptions {
  readonly storePort: number;
  readonly hosts: readonly HostOptions[];
  /** Bounds of the site, by name. */
  readonly bounds: Readonly<Record<string, string>>;
  readonly linkMbps: number;
  readonly onEvent: (event: string) => void;
}

interface Ports {
  readonly front: number;
  readonly ready: number;
  readonly control: number;
  readonly internal: number;
}

export class Host {
  private child: ChildProcess | undefined;
  private starts = 0;

  constructor(
    readonly options: HostOptions,
    private readonly fleet: Fleet,
  ) {}

  get frontPort(): number {
    return this.fleet.ports.front;
  }

  start(): void {
    const {name} = this.options;
    const {folder, command, onEvent} = this.fleet;
    const path = join(folder, `${name}.conf`);
    writeFileSync(path, this.fleet.settingsOf(this.options, this.starts === 0));
    this.starts += 1;
    const [, ...words] = command;
    const child = spawn(process.execPath, words, {
      env: {PATH: process.env['PATH'], CYCLAMENLEVER_SETTINGS: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    onEvent(`${name} starts`);
    const log = createWriteStream(join(folder, `${name}.log`), {flags: 'a'});
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    child.once('exit', (code, signal) => {
      onEvent(`${name} ended: ${String(code ?? signal)}`);
      if (this.child === child) {
        this.child = undefined;
      }
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.fleet.onEvent(`${this.options.name} receives ${signal}`);
    this.child?.kill(signal);
  }

  async end(): Promise<void> {
    const {child} = this;
    if (child && child.exitCode === null && child.signalCode === null) {
      const exited = new Promise(resolve => child.once('exit', resolve));
      child.kill('SIGKILL');
      await exited;
    }
  }

  /** What the process has logged, one JSON object a line. */
  get log(): string {
    return readFileSync(
      join(this.fleet.folder, `${this.options.name}.log`),
      'utf8',
    );
  }

  async isReady(): Promise<boolean> {
    const {ip} = this.options;
    return new Promise(resolve => {
      const outgoing = request(
        {host: ip, port: this.fleet.ports.ready, path: '/api/readiness'},
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      outgoing.setTimeout(500, () => outgoing.destroy());
      outgoing.on('error', () => resolve(false));
      outgoing.end();
    });
  }

  async untilReady(): Promise<void> {
    const deadline = Date.now() + START_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (Date.now() > deadline) {
        throw new Error(`${this.options.name} did not become ready`);
      }
      await pause(READY_POLL_MS);
    }
  }
}

export class Fleet {
  readonly folder = mkdtempSync(join(tmpdir(), 'review-'));
  readonly command = deployedCommand();
  readonly hosts: readonly Host[];

  private constructor(
    private readonly options: FleetOptions,
    readonly ports: Ports,
  ) {
    this.hosts = options.hosts.map(one => new Host(one, this));
  }

  static async create(options: FleetOptions): Promise<Fleet> {
    const ips = options.hosts.map(({ip}) => ip);
    const [front, ready, control, internal] = await freePorts(ips, 4);
    return new Fleet(options, {
      front: front ?? 0,
      ready: ready ?? 0,
      control: control ?? 0,
      internal: internal ?? 0,
    });
  }

  get onEvent(): (event: string) => void {
    return this.options.onEvent;
  }

  async start(): Promise<void> {
    this.hosts.forEach(host => host.start());
    await Promise.all(this.hosts.map(host => host.untilReady()));
  }

  async end(): Promise<void> {
    await Promise.all(this.hosts.map(host => host.end()));
    if (process.env['KEEP'] !== '1') {
      rmSync(this.folder, {recursive: true, force: true});
    }
  }

  settingsOf({name, ip, zone}: HostOptions, isFirst: boolean): string {
    const {storePort, hosts, bounds, linkMbps} = this.options;
    const {front, ready, control, internal} = this.ports;
    const zones = [...new Set(hosts.map(one => one.zone))];
    const seeds = hosts.slice(0, 3).map(one => `${one.ip}:${control}`);
    return [
      `self.node=${name}`,
      'self.role=entry',
      'self.machine_class=edge',
      'self.serves=edge,control_plane',
      `self.ip=${ip}`,
      `self.zone=${zone}`,
      'self.region=east',
      `self.bootstrap=${String(isFirst)}`,
      `self.limits.link_mbps=${linkMbps}`,
      'self.limits.memory_mb=350',
      'self.limits.max_fds=4100',
      `network.listen.front=${ip}:${front}`,
      `network.listen.ready=${ip}:${ready}`,
      `network.listen.control=${ip}:${control}`,
      `network.internal_ports=${internal},${internal}`,
      `network.seeds=${seeds.join(',')}`,
      ...zones.map(one => `network.zones.${one}=east`),
      `platform.platform.address=127.0.0.1:${storePort}`,
      'platform.platform.form=log',
      'platform.platform.writes_per_s=400',
      'platform.platform.reads_per_s=2000',
      ...Object.entries(bounds).map(
        ([bound, value]) => `terms.bounds.${bound}=${value}`,
      ),
      '',
    ].join('\n');
  }
}

export function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** The words of `run` in the deploy file. */
function deployedCommand(): readonly string[] {
  const run = /^run = "(.*)"$/m.exec(
    readFileSync('deploy/system.toml', 'utf8'),
  );
  if (!run?.[1]) {
    throw new Error('the deploy file has no command');
  }
  return run[1].split(' ');
}

/** Ports that are free at all of these addresses. */
async function freePorts(
  ips: readonly string[],
  count: number,
): Promise<readonly number[]> {
  const found: number[] = [];
  for (let i = 0; i < PORT_ATTEMPTS && found.length < count; i += 1) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    const free = await Promise.all(ips.map(ip => isFree(ip, port)));
    if (port !== METRICS_PORT && free.every(one => one)) {
      found.push(port);
    }
  }
  return found;
}

function isFree(ip: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}
