/** Starts small systems for tests: stand-ins and real entry hosts. */

import {pino} from 'pino';
import {EntryHost} from '../../src/daemon/entry_host.js';
import {ControlConnector, type ControlClient} from '../../src/control/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {readSettings} from '../../src/settings/index.js';
import {
  LaggingHostList,
  MemoryLog,
  UpstreamServer,
} from '../../src/standins/index.js';
import {seededRandom, systemClock} from '../../src/time/index.js';

export const OPERATOR_KEY = 'test-operator-key-0';
export const FLEET_KEY = 'test-fleet-key-0000';

export interface TestHost {
  readonly host: EntryHost;
  readonly metrics: Metrics;
  /** IP:PORT for callers. */
  readonly caller: string;
  /** IP:PORT for peers and operators. */
  readonly control: string;
  readonly admin: string;
}

/** A platform, upstreams and hosts, closed together. */
export class TestSystem {
  readonly log = new MemoryLog(systemClock, seededRandom(1));
  readonly hostList = new LaggingHostList(systemClock);
  readonly hosts: TestHost[] = [];
  readonly upstreams: UpstreamServer[] = [];
  private readonly connector = new ControlConnector();

  async startHost(
    id: string,
    extra: readonly string[] = [],
  ): Promise<TestHost> {
    const seeds = this.hosts.map(({control}) => control).join(',');
    const settings = readSettings(
      [
        ['--host-id', id, '--data-centre', 'galway-east'],
        ['--caller-address', '127.0.0.1:0', '--control-address', '127.0.0.1:0'],
        ['--admin-address', '127.0.0.1:0', '--peers', seeds],
        [
          '--log-url',
          'http://127.0.0.1:1',
          '--host-list-url',
          'http://127.0.0.1:1',
        ],
        ['--fleet-key', FLEET_KEY, '--operator-key', OPERATOR_KEY],
        ['--drain-wait-ms', '50', '--log-level', 'silent'],
        extra,
      ].flat(),
      {},
    )._unsafeUnwrap();
    const metrics = new Metrics();
    const host = new EntryHost({
      settings,
      log: this.log,
      hostList: this.hostList,
      clock: systemClock,
      random: seededRandom(7),
      logger: pino({level: 'silent'}),
      metrics,
      incarnation: this.hosts.length + 1,
    });
    const ports = await host.start();
    const started = {
      host,
      metrics,
      caller: `127.0.0.1:${ports.caller}`,
      control: `127.0.0.1:${ports.control}`,
      admin: `127.0.0.1:${ports.admin}`,
    };
    this.hosts.push(started);
    await until(() => host.isReady);
    return started;
  }

  /** @returns the IP:PORT of a new upstream */
  async startUpstream(name: string, seed = 1): Promise<string> {
    const server = new UpstreamServer({
      name,
      slots: 4,
      serviceMs: 2,
      random: seededRandom(seed),
    });
    this.upstreams.push(server);
    return `127.0.0.1:${await server.listen()}`;
  }

  operator(host: TestHost): ControlClient {
    return this.connector.client({
      address: host.control,
      key: OPERATOR_KEY,
      timeoutMs: 20_000,
    });
  }

  /** Performs commands through a host and waits until they are in force. */
  async applyCommands(host: TestHost, text: string): Promise<void> {
    const report = await this.operator(host).change.mutate({
      text,
      author: 'test',
      note: '',
      declaration: false,
    });
    if (report.kind !== 'judged' || report.verdict.kind !== 'accepted') {
      throw new Error(JSON.stringify(report));
    }
  }

  async close(): Promise<void> {
    await Promise.all(this.hosts.map(({host}) => host.stop()));
    await Promise.all(this.upstreams.map(upstream => upstream.close()));
    await this.connector.close();
    this.log.wakeWaiters();
  }
}

/** Waits for a condition; a test that waits forever fails by its time limit. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}
