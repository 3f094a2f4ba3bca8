/** A small deployment on loopback addresses: the store, servers and entry hosts. */

import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  StoreServer,
  configurationRecord,
  upstreamRecord,
} from '../../src/standins/index.js';
import type {RouteSpec} from '../../src/standins/index.js';
import {HostProcess} from './host_process.js';
import type {ServerOptions} from './server.js';
import {ReviewServer} from './server.js';
import {sleep} from './sleep.js';

const ZONES = ['castlebar-a', 'castlebar-b', 'galway-east'] as const;
const HEARTBEAT_MS = 1_500;
const SETTLE_MS = 3_000;
/** What clients may send, and for how long they may stay idle. */
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 8_388_608,
  header_timeout: '3s',
  idle_timeout: '15s',
};
export const SERVICE = 'listings';
export const HOST_NAME = 'shop.example';

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

export interface TestbedOptions {
  readonly recordFile: string;
  readonly routes: readonly RouteSpec[];
  readonly hosts: number;
  readonly servers: number;
  readonly server: (
    index: number,
  ) => Pick<ServerOptions, 'workMs' | 'answer' | 'onRun' | 'rejectsEarly'>;
}

export class Testbed {
  readonly hosts: HostProcess[] = [];
  readonly servers: ReviewServer[] = [];
  private readonly startedAt = performance.now();
  private readonly folder = mkdtempSync(join(tmpdir(), 'review-'));
  private readonly store = new StoreServer();
  private readonly octet = 1 + (process.pid % 250);
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: TestbedOptions) {
    writeFileSync(options.recordFile, '');
  }

  /** Adds a line to the record of what was sent, answered and run. */
  readonly note = (event: string): void => {
    const at = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
    appendFileSync(this.options.recordFile, `${at.padStart(8)} ${event}\n`);
  };

  /** Starts everything; resolves once the hosts have been ready for some seconds. */
  async start(): Promise<void> {
    const storePort = await this.store.listen();
    const {routes} = this.options;
    const version = 1;
    this.store.put(
      'keyed.op',
      'config',
      configurationRecord(version, routes, [SERVICE], LIMITS),
    );
    await this.startServers();
    const {octet} = this;
    const ips = Array.from(
      {length: this.options.hosts},
      (_, at) => `127.20.${octet}.${at + 1}`,
    );
    for (const [at, ip] of ips.entries()) {
      const zone = ZONES[at % ZONES.length] ?? ZONES[0];
      const host = new HostProcess({
        name: `edge-${zone}-${at + 1}`,
        ip,
        zone,
        zones: ZONES,
        seeds: ips.slice(0, 3),
        storePort,
        folder: this.folder,
        log: this.note,
      });
      this.hosts.push(host);
      host.start();
    }
    await Promise.all(this.hosts.map(host => host.untilReady()));
    await sleep(SETTLE_MS);
  }

  /** Ends all processes and closes all servers. */
  close(): void {
    clearInterval(this.timer);
    this.hosts.forEach(host => host.kill());
    this.servers.forEach(server => server.close());
    void this.store.close();
    rmSync(this.folder, {recursive: true, force: true});
  }

  private async startServers(): Promise<void> {
    const entries: {id: string; address: string; zone: string}[] = [];
    const born = Date.now();
    for (let at = 0; at < this.options.servers; at += 1) {
      const id = `i-${this.octet}-${at + 1}`;
      const ip = `127.20.${this.octet}.${100 + at}`;
      const server = new ReviewServer({id, ip, ...this.options.server(at)});
      this.servers.push(server);
      const zone = ZONES[at % ZONES.length] ?? ZONES[0];
      entries.push({id, address: await server.listen(), zone});
    }
    let seq = 0;
    const beat = (): void => {
      seq += 1;
      entries.forEach(({id, address, zone}) =>
        this.store.put(
          'keyed.servers',
          id,
          upstreamRecord(address, SERVICE, zone, 'ready', {born, seq}),
        ),
      );
    };
    beat();
    this.timer = setInterval(beat, HEARTBEAT_MS);
  }
}

/** Runs a case, ends what it started, and exits with its result. */
export async function runCase(
  testbed: Testbed,
  play: () => Promise<number>,
): Promise<void> {
  let code = NOT_RUN;
  try {
    await testbed.start();
    code = await play();
  } catch (error) {
    testbed.note(`the case could not run: ${String(error)}`);
  }
  testbed.note(`exit code ${code}`);
  testbed.close();
  process.exit(code);
}

/** Whether the disruption is left out. */
export function hasTrouble(): boolean {
  return process.env['TROUBLE'] !== '0';
}
