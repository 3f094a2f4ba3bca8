import {once} from 'node:events';
import type {ChildProcessByStdio} from 'node:child_process';
import {spawn, spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {Interface} from 'node:readline';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import {afterEach, beforeEach, expect, test} from 'vitest';

interface SpawnedHost {
  readonly child: ChildProcessByStdio<null, Readable, null>;
  readonly lines: Interface;
  readonly port: number;
}

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'host-'));
});

afterEach(() => rmSync(folder, {recursive: true}));

function runWithSettings(settings: string | undefined): {
  code: number;
  stderr: string;
} {
  const path = join(folder, 'settings');
  if (settings !== undefined) {
    writeFileSync(path, settings);
  }
  const env = {...process.env, CYCLAMENLEVER_SETTINGS: path};
  const run = spawnSync(process.execPath, ['dist/host/main.js'], {env});
  return {code: run.status ?? -1, stderr: run.stderr.toString()};
}

/** Settings of a host whose store is unreachable. */
function settingsWith(callersPort: number): string {
  return [
    'self.node=entry-1',
    'self.ip=127.0.0.1',
    'self.zone=east',
    `network.listen.front=127.0.0.1:${callersPort}`,
    'network.listen.ready=127.0.0.1:0',
    'network.internal_ports=0,0',
    'platform.platform.address=127.0.0.1:1',
  ].join('\n');
}

function statusOf(port: number, path: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const outgoing = request({port, path, host: '127.0.0.1', agent: false});
    outgoing.on('error', reject);
    outgoing.on('response', answer => {
      answer.resume();
      answer.on('end', () => resolve(answer.statusCode ?? 0));
    });
    outgoing.end();
  });
}

/**
 * Spawns the deployed program and waits until it listens; `port` is for callers.
 *
 * @param flags of Node
 */
async function spawnHost(flags: readonly string[] = []): Promise<SpawnedHost> {
  const path = join(folder, 'settings');
  writeFileSync(path, settingsWith(0));
  const child = spawn(process.execPath, [...flags, 'target/host.cjs'], {
    env: {
      ...process.env,
      CYCLAMENLEVER_SETTINGS: path,
      CYCLAMENLEVER_METRICS_PORT: '0',
    },
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  const lines = createInterface({input: child.stdout});
  const [first] = (await once(lines, 'line')) as [string];
  const {ports} = JSON.parse(first) as {ports: {callers: number}};
  return {child, lines, port: ports.callers};
}

test('a host whose log nobody reads keeps responding', async () => {
  // The log collector stops reading and the pipe fills. A host that waited for space
  // in it would stop responding.
  const {child, lines, port} = await spawnHost();
  lines.pause();
  child.stdout.pause();
  // Lines of 8 kB, 200 a second at most: far more than the pipe can buffer.
  const target = `/${'x'.repeat(8_000)}`;
  for (let round = 0; round < 10; round += 1) {
    const statuses = await Promise.all(
      Array.from({length: 100}, () => statusOf(port, target)),
    );
    expect(new Set(statuses)).toEqual(new Set([503]));
  }
  child.kill('SIGKILL');
  await once(child, 'exit');
});

test('a host without a settings file exits with code 2 and says what to do', () => {
  const {code, stderr} = runWithSettings(undefined);
  expect(code).toBe(2);
  expect(stderr).toContain('make it readable');
});

test('a host with an invalid settings file exits with code 2 and names the field', () => {
  const {code, stderr} = runWithSettings('self.ip=10.0.0.1\nself.node=x\n');
  expect(code).toBe(2);
  expect(stderr).toContain('settings field');
});

test('a host whose port is taken exits with code 3 and says what to do', async () => {
  const taken = createServer();
  await new Promise<void>(resolve => taken.listen(0, '127.0.0.1', resolve));
  const {port} = taken.address() as AddressInfo;
  const {code, stderr} = runWithSettings(settingsWith(port));
  taken.close();
  expect(code).toBe(3);
  expect(stderr).toContain('end what holds the address');
});

/** stderr of the deployed program when it starts without a settings file. */
function stderrAtStart(flags: readonly string[]): string {
  const args = [...flags, 'target/host.cjs'];
  const env = {...process.env, CYCLAMENLEVER_SETTINGS: ''};
  return spawnSync(process.execPath, args, {env}).stderr.toString();
}

test('a host starts with the code cache of the build', () => {
  // All hosts restart after a power loss on a quarter of a core each. Without the code
  // cache the program takes a quarter longer until it serves callers.
  const deployed = readFileSync('deploy/system.toml', 'utf8');
  const flags = /run = "node (.*) target/.exec(deployed)?.[1]?.split(' ') ?? [];
  expect(stderrAtStart(flags)).toContain('CYCLAMENLEVER_SETTINGS');
  expect(stderrAtStart(flags)).not.toContain('compiled anew');
});

test('warns when it starts with other flags than those of the build', () => {
  const stderr = stderrAtStart(['--max-old-space-size=99']);
  expect(stderr).toContain('CYCLAMENLEVER_SETTINGS');
  expect(stderr).toContain('compiled anew');
});

test('a host that gets a second stop signal still responds until it has shut down', async () => {
  // An operator's tool sends SIGTERM again during the shutdown. If the second ended the
  // process at once, it would abort the requests in flight.
  const {child, port} = await spawnHost();
  const exit = once(child, 'exit');
  child.kill('SIGTERM');
  // Two requests take two turns of its event loop, so that it has handled the first signal.
  await statusOf(port, '/any/');
  await statusOf(port, '/any/');
  child.kill('SIGTERM');
  child.kill('SIGINT');
  expect(await statusOf(port, '/any/')).toBe(503);
  expect(await statusOf(port, '/any/')).toBe(503);
  expect(await exit).toEqual([0, null]);
});

// Guards against an error outside of all requests that cuts those in flight.
test('a host stops in order after an error that nobody contains', async () => {
  const {child, lines, port} = await spawnHost([
    '--import',
    './tests/support/throw_on_signal.mjs',
  ]);
  const events: string[] = [];
  lines.on('line', line => {
    events.push((JSON.parse(line) as {event: string}).event);
  });
  const ended = once(child, 'exit');
  child.kill('SIGUSR2');
  while (!events.includes('stop')) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  child.kill('SIGUSR2');
  expect(await statusOf(port, '/')).toBe(503);
  expect(await ended).toEqual([1, null]);
  expect(events.filter(event => event === 'uncaught-error')).toHaveLength(2);
});
