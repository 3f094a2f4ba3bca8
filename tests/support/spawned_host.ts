/** The deployed program in a process of its own, as on a machine with little memory. */

import type {ChildProcessByStdio} from 'node:child_process';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import type {HostPorts} from '../../src/host/types.js';
import {
  METRICS_PORT_VARIABLE,
  SETTINGS_FILE_VARIABLE,
} from '../../src/platform/index.js';

const DESCRIPTOR_POLL_MS = 50;
const KILOBYTE = 1024;

export interface MachineLimits {
  readonly memoryMb: number;
  readonly maxDescriptors: number;
}

export class SpawnedHost {
  private readonly timer: NodeJS.Timeout;
  private descriptors = 0;

  private constructor(
    private readonly child: ChildProcessByStdio<null, Readable, null>,
    private readonly folder: string,
    readonly ports: HostPorts,
  ) {
    this.timer = setInterval(() => {
      this.descriptors = Math.max(this.descriptors, this.countDescriptors());
    }, DESCRIPTOR_POLL_MS);
  }

  /** Resolves once it listens. */
  static async start(
    storePort: number,
    {memoryMb, maxDescriptors}: MachineLimits,
  ): Promise<SpawnedHost> {
    const folder = mkdtempSync(join(tmpdir(), 'host-'));
    const path = join(folder, 'settings');
    writeFileSync(
      path,
      [
        'self.node=entry-1',
        'self.ip=127.0.0.1',
        'self.zone=east',
        'self.bootstrap=true',
        `self.limits.memory_mb=${memoryMb}`,
        `self.limits.max_fds=${maxDescriptors}`,
        'network.listen.front=127.0.0.1:0',
        'network.listen.ready=127.0.0.1:0',
        'network.internal_ports=0,0',
        `platform.platform.address=127.0.0.1:${storePort}`,
      ].join('\n'),
    );
    const args = [...deployedFlags(), 'target/host.cjs'];
    const child = spawn(process.execPath, args, {
      env: {
        ...process.env,
        [SETTINGS_FILE_VARIABLE]: path,
        [METRICS_PORT_VARIABLE]: '0',
      },
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    const lines = createInterface({input: child.stdout});
    const [first] = (await once(lines, 'line')) as [string];
    const {ports} = JSON.parse(first) as {ports: HostPorts};
    return new SpawnedHost(child, folder, ports);
  }

  get isAlive(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Largest resident set of the process so far. */
  get peakMemoryBytes(): number {
    const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * KILOBYTE;
  }

  /** Most descriptors that it was seen to have open. */
  get peakDescriptors(): number {
    return this.descriptors;
  }

  async kill(): Promise<void> {
    if (this.isAlive) {
      this.child.kill('SIGKILL');
      await once(this.child, 'exit');
    }
  }

  async end(): Promise<void> {
    clearInterval(this.timer);
    await this.kill();
    rmSync(this.folder, {recursive: true});
  }

  private countDescriptors(): number {
    try {
      return readdirSync(`/proc/${this.child.pid}/fd`).length;
    } catch {
      return 0;
    }
  }
}

/** Flags of Node in the deploy file. */
function deployedFlags(): readonly string[] {
  const text = readFileSync('deploy/system.toml', 'utf8');
  return /run = "node (.*) target/.exec(text)?.[1]?.split(' ') ?? [];
}
