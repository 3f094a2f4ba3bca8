/** One entry host as a process of its own. */

import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {createWriteStream, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import type {HostPorts} from '../host/gateway_host.js';
import {
  METRICS_PORT_VARIABLE,
  SETTINGS_FILE_VARIABLE,
} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import {COLD_OVERAGE, COLD_SLACK} from './constants.js';

/** The program as it is deployed: one file, which starts in a third of the time. */
const PROGRAM = 'target/host.cjs';
const START_TIMEOUT_MS: Milliseconds = 20_000;
export const GRACE_MS: Milliseconds = 6_000;

export interface HostProcessOptions {
  readonly name: string;
  /**
   * A loopback address of its own. On 127.0.0.1 its ports could be taken by
   * somebody's outgoing connection while the process is down.
   */
  readonly ip: string;
  readonly dataCentre: string;
  readonly storePort: number;
  readonly folder: string;
}

export class HostProcess {
  private child: ChildProcess | undefined;
  private lastPorts: HostPorts | undefined;
  private starts = 0;
  private endedByHangup = false;

  /** @param onEvent told of starts, signals and ends, to be traced by */
  constructor(
    readonly options: HostProcessOptions,
    private readonly onEvent: (event: string) => void,
  ) {}

  /** Ports of this life or of the last one. */
  get ports(): HostPorts | undefined {
    return this.lastPorts;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Counts the lives of the process. */
  get startCount(): number {
    return this.starts;
  }

  /**
   * Whether SIGHUP ended it before it listened. No program can take a signal before
   * its first line runs; the platform starts such a process again.
   */
  get endedBeforeListening(): boolean {
    return this.endedByHangup && !this.isRunning;
  }

  /** Starts the program; resolves once it listens, or was killed before. */
  async start(): Promise<void> {
    const {name, folder} = this.options;
    const settings = join(folder, `${name}.conf`);
    writeFileSync(settings, this.settings());
    const child = spawn(process.execPath, [PROGRAM], {
      env: {
        ...process.env,
        [SETTINGS_FILE_VARIABLE]: settings,
        [METRICS_PORT_VARIABLE]: '0',
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.starts += 1;
    this.onEvent(`${name} starts`);
    child.once('exit', (code, signal) => {
      this.onEvent(`${name} ended: ${String(code ?? signal)}`);
      if (this.child === child) {
        this.child = undefined;
      }
    });
    const log = createWriteStream(join(folder, `${name}.log`), {flags: 'a'});
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    // A soak that is stopped leaves no hosts behind.
    const end = (): void => void child.kill('SIGKILL');
    process.once('exit', end);
    child.once('exit', () => process.off('exit', end));
    const ports = await readPorts(child);
    this.endedByHangup = !ports && child.signalCode === 'SIGHUP';
    this.lastPorts = ports ?? this.lastPorts;
  }

  /** Sends a signal to this process alone. */
  signal(signal: NodeJS.Signals): void {
    this.onEvent(`${this.options.name} gets ${signal}`);
    this.child?.kill(signal);
  }

  /** Resolves when the process is gone. */
  async exited(): Promise<void> {
    const {child} = this;
    if (child && child.exitCode === null && child.signalCode === null) {
      await new Promise(resolve => child.once('exit', resolve));
    }
  }

  /** Ports stay the same over restarts, as those of a host do. */
  private settings(): string {
    const {name, ip, dataCentre, storePort} = this.options;
    const ports = this.lastPorts;
    return [
      `self.node=${name}`,
      `self.ip=${ip}`,
      `self.zone=${dataCentre}`,
      `self.bootstrap=${String(this.starts === 0)}`,
      `network.listen.front=${ip}:${ports?.callers ?? 0}`,
      `network.listen.ready=${ip}:${ports?.readiness ?? 0}`,
      `network.internal_ports=${ports?.peers ?? 0},0`,
      `platform.platform.address=127.0.0.1:${storePort}`,
      `terms.bounds.grace=${GRACE_MS}ms`,
      'terms.bounds.retry_ratio=0.2',
      'terms.bounds.retry_slack=50',
      'terms.bounds.probe_per_s=60',
      `terms.bounds.warmup_overage=${COLD_OVERAGE}`,
      `terms.bounds.warmup_slack=${COLD_SLACK}`,
      '',
    ].join('\n');
  }
}

/** The first line of the log tells the ports; undefined if it was killed. */
function readPorts(child: ChildProcess): Promise<HostPorts | undefined> {
  return new Promise((resolve, reject) => {
    const fail = (reason: string): void => {
      clearTimeout(timer);
      reject(new Error(`a host did not start: ${reason}; read its log`));
    };
    const timer = setTimeout(() => fail('no line'), START_TIMEOUT_MS);
    child.once('exit', code => {
      if (code === null) {
        clearTimeout(timer);
        resolve(undefined);
      } else {
        fail(`exit code ${code}`);
      }
    });
    if (!child.stdout) {
      fail('its output is not read');
      return;
    }
    const lines = createInterface({input: child.stdout});
    lines.on('line', line => {
      const {event, ports} = JSON.parse(line) as {
        event?: string;
        ports?: HostPorts;
      };
      if (event === 'start' && ports) {
        clearTimeout(timer);
        lines.removeAllListeners('line');
        resolve(ports);
      }
    });
  });
}
