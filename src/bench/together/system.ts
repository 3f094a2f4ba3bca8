/** Entry hosts in one process around one platform stand-in, over HTTP. */

import {createServer} from 'node:http';
import {pino} from 'pino';
import type {ControlClient} from '../../control/index.js';
import {ControlConnector} from '../../control/index.js';
import {EntryHost} from '../../daemon/entry_host.js';
import {Metrics} from '../../metrics/index.js';
import {HttpLogService} from '../../log_service/index.js';
import {listen} from '../../servers/index.js';
import {readSettings} from '../../settings/index.js';
import {
  LaggingHostList,
  MemoryLog,
  PlatformServer,
} from '../../standins/index.js';
import {seededRandom, systemClock} from '../../time/index.js';

const LOCAL = '127.0.0.1';
const KEY = 'bench-key-0123456789';
const FLEET_KEY = 'bench-fleet-key-0123';
const DATA_CENTRE_COUNT = 4;

export interface BenchHost {
  readonly host: EntryHost;
  readonly caller: string;
  readonly control: string;
}

export class BenchSystem {
  readonly log = new MemoryLog(systemClock, seededRandom(1));
  readonly platform = new PlatformServer(
    this.log,
    new LaggingHostList(systemClock),
  );
  readonly hosts: BenchHost[] = [];
  private readonly connector = new ControlConnector();
  private platformUrl = '';

  async start(hosts: number): Promise<void> {
    this.platformUrl = `http://${LOCAL}:${await this.platform.listen()}`;
    for (let index = 0; index < hosts; index += 1) {
      this.hosts.push(await this.startHost(index, hosts));
    }
    while (!this.hosts.every(({host}) => host.isReady)) {
      await sleep(50);
    }
  }

  operator(index: number): ControlClient {
    const address = this.hosts[index % this.hosts.length]?.control ?? '';
    return this.connector.client({address, key: KEY, timeoutMs: 30_000});
  }

  /** Changes that each host has judged. */
  judgedChangeCounts(): readonly number[] {
    return this.hosts.map(({host}) => host.judgedChangeCount);
  }

  /** Size of the configuration as a host hands it to another. */
  async checkpointBytes(): Promise<number> {
    const address = this.hosts[0]?.control ?? '';
    const peer = this.connector.client({address, key: FLEET_KEY});
    return JSON.stringify(await peer.snapshot.query()).length;
  }

  async applyCommands(text: string): Promise<number> {
    const report = await this.operator(0).change.mutate({
      text,
      author: 'bench',
      note: '',
      declaration: false,
    });
    if (report.kind !== 'judged' || report.verdict.kind !== 'accepted') {
      throw new Error(JSON.stringify(report));
    }
    return report.verdict.offset;
  }

  /** An upstream that answers at once. */
  async startUpstream(): Promise<string> {
    const server = createServer((request, response) => {
      request.resume();
      request.on('end', () => {
        response.writeHead(200, {'content-length': 2});
        response.end('ok');
      });
    });
    return `${LOCAL}:${await listen(server, LOCAL, 0)}`;
  }

  /** Bytes of control traffic that all hosts together sent and received. */
  get controlBytes(): number {
    const peers = this.hosts.reduce(
      (sum, {host}) => sum + host.controlBytes,
      0,
    );
    // A byte between peers is sent by one host and received by another.
    return 2 * peers + this.platform.traffic.bytes;
  }

  private async startHost(index: number, hosts: number): Promise<BenchHost> {
    const seeds = this.hosts.slice(0, 3).map(({control}) => control);
    const settings = readSettings(
      [
        ['--host-id', `h${index}`, '--peers', seeds.join(',')],
        ['--data-centre', `dc${index % DATA_CENTRE_COUNT}`],
        ['--caller-address', `${LOCAL}:0`, '--control-address', `${LOCAL}:0`],
        ['--admin-address', `${LOCAL}:0`, '--log-level', 'silent'],
        ['--log-url', this.platformUrl, '--host-list-url', this.platformUrl],
        ['--fleet-key', FLEET_KEY, '--operator-key', KEY],
        ['--max-hosts', String(Math.max(17, hosts))],
      ].flat(),
      {},
    )._unsafeUnwrap();
    const platform = new HttpLogService(this.platformUrl, this.platformUrl);
    const host = new EntryHost({
      settings,
      log: platform,
      hostList: platform,
      clock: systemClock,
      random: seededRandom(index + 1),
      logger: pino({level: 'silent'}),
      metrics: new Metrics(),
      incarnation: 1,
    });
    const ports = await host.start();
    return {
      host,
      caller: `${LOCAL}:${ports.caller}`,
      control: `${LOCAL}:${ports.control}`,
    };
  }
}

export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
