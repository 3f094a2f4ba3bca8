/** One entry host in a separate process. */

import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {createWriteStream, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import type {HostPorts} from '../host/types.js';
import {
  METRICS_PORT_VARIABLE,
  SETTINGS_FILE_VARIABLE,
} from '../platform/index.js';
import {quotaBounds} from '../standins/index.js';
import type {Milliseconds} from '../time/index.js';
import {
  COLD_OVERAGE,
  COLD_SLACK,
  QUOTA_TOLERANCE,
  RETRY_RATIO,
  RETRY_SLACK,
} from './constants.js';

/** The deployed single-file bundle; starts in a third of the time of separate modules. */
const PROGRAM = 'target/host.cjs';
const START_TIMEOUT_MS: Milliseconds = 20_000;
export const GRACE_MS: Milliseconds = 6_000;

export interface HostProcessOptions {
  readonly name: string;
  /**
   * Loopback address of this host alone. On 127.0.0.1, an outgoing connection
   * could take one of its ports while the process is down.
   */
  readonly ip: string;
  readonly dataCentre: string;
  readonly storePort: number;
  readonly folder: string;
  /** Rate of the host's link to callers, if it has one of its own. */
  readonly linkMbps: number | undefined;
}

export class HostProcess {
  private child: ChildProcess | undefined;
  private lastPorts: HostPorts | undefined;
  private starts = 0;
  private endedByHangup = false;

  /** @param onEvent called on starts, signals and exits, for tracing */
  constructor(
    readonly options: HostProcessOptions,
    private readonly onEvent: (event: string) => void,
  ) {}

  /** Ports of the current process, or of the previous one until it listens. */
  get ports(): HostPorts | undefined {
    return this.lastPorts;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Number of times that the process was started. */
  get startCount(): number {
    return this.starts;
  }

  /**
   * Whether SIGHUP ended the process before it listened. No program can handle a
   * signal before its first line runs; the platform restarts such a process.
   */
  get endedBeforeListening(): boolean {
    return this.endedByHangup && !this.isRunning;
  }

  /** Starts the process; resolves once it listens or is killed before that. */
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
    // Kills the hosts when the soak is stopped.
    const end = (): void => void child.kill('SIGKILL');
    process.once('exit', end);
    child.once('exit', () => process.off('exit', end));
    const ports = await readPorts(child);
    this.endedByHangup = !ports && child.signalCode === 'SIGHUP';
    this.lastPorts = ports ?? this.lastPorts;
  }

  /** Sends a signal to the process. */
  signal(signal: NodeJS.Signals): void {
    this.onEvent(`${this.options.name} receives ${signal}`);
    this.child?.kill(signal);
  }

  /** Resolves once the process has exited. */
  async exited(): Promise<void> {
    const {child} = this;
    if (child && child.exitCode === null && child.signalCode === null) {
      await new Promise(resolve => child.once('exit', resolve));
    }
  }

  /** Keeps the ports across restarts, as deployed hosts do. */
  private settings(): string {
    const {name, ip, dataCentre, storePort, linkMbps} = this.options;
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
      `terms.bounds.retry_ratio=${RETRY_RATIO}`,
      `terms.bounds.retry_slack=${RETRY_SLACK}`,
      'terms.bounds.probe_per_s=60',
      `terms.bounds.warmup_overage=${COLD_OVERAGE}`,
      `terms.bounds.warmup_slack=${COLD_SLACK}`,
      ...(linkMbps === undefined ? [] : [`self.limits.link_mbps=${linkMbps}`]),
      ...quotaBounds(QUOTA_TOLERANCE),
      '',
    ].join('\n');
  }
}

/** Reads the ports from the log's start event; undefined if the process was killed. */
function readPorts(child: ChildProcess): Promise<HostPorts | undefined> {
  return new Promise((resolve, reject) => {
    const fail = (reason: string): void => {
      clearTimeout(timer);
      reject(new Error(`host did not start: ${reason}; see its log`));
    };
    const timer = setTimeout(
      () => fail('no start event before the timeout'),
      START_TIMEOUT_MS,
    );
    child.once('exit', code => {
      if (code === null) {
        clearTimeout(timer);
        resolve(undefined);
      } else {
        fail(`exit code ${code}`);
      }
    });
    if (!child.stdout) {
      fail('stdout is not piped');
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
