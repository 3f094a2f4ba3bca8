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
  told: string;
} {
  const path = join(folder, 'settings');
  if (settings !== undefined) {
    writeFileSync(path, settings);
  }
  const env = {...process.env, CYCLAMENLEVER_SETTINGS: path};
  const run = spawnSync(process.execPath, ['dist/host/main.js'], {env});
  return {code: run.status ?? -1, told: run.stderr.toString()};
}

/** Settings of a host whose store can't be reached. */
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

/** The deployed program, once it listens; `port` is for callers. */
async function spawnHost(): Promise<SpawnedHost> {
  const path = join(folder, 'settings');
  writeFileSync(path, settingsWith(0));
  const child = spawn(process.execPath, ['target/host.cjs'], {
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

test('a host whose log nobody reads goes on answering', async () => {
  // Whoever collects the logs stops reading. Lines fill the pipe; a host that
  // waited for room in it would answer nobody any more.
  const {child, lines, port} = await spawnHost();
  lines.pause();
  child.stdout.pause();
  // Lines of 8 kB, 200 a second at most: the pipe holds far less than these.
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

test('a host without a settings file ends with code 2 and a remedy', () => {
  const {code, told} = runWithSettings(undefined);
  expect(code).toBe(2);
  expect(told).toContain('make it readable');
});

test('a host with a bad settings file ends with code 2 and names the field', () => {
  const {code, told} = runWithSettings('self.ip=10.0.0.1\nself.node=x\n');
  expect(code).toBe(2);
  expect(told).toContain('settings field');
});

test('a host whose port is taken ends with code 3 and a remedy', async () => {
  const taken = createServer();
  await new Promise<void>(resolve => taken.listen(0, '127.0.0.1', resolve));
  const {port} = taken.address() as AddressInfo;
  const {code, told} = runWithSettings(settingsWith(port));
  taken.close();
  expect(code).toBe(3);
  expect(told).toContain('end what holds the address');
});

/** What the deployed program says as it starts without a settings file. */
function stderrAtStart(flags: readonly string[]): string {
  const args = [...flags, 'target/host.cjs'];
  const env = {...process.env, CYCLAMENLEVER_SETTINGS: ''};
  return spawnSync(process.execPath, args, {env}).stderr.toString();
}

test('a host starts from the code that was compiled at the build', () => {
  // All hosts lose power and start again on a quarter of a core each. Compiled anew,
  // the program takes a quarter longer until callers are served.
  const deployed = readFileSync('deploy/system.toml', 'utf8');
  const flags = /run = "node (.*) target/.exec(deployed)?.[1]?.split(' ') ?? [];
  expect(stderrAtStart(flags)).toContain('CYCLAMENLEVER_SETTINGS');
  expect(stderrAtStart(flags)).not.toContain('compiled anew');
});

test('with other flags than the build’s it starts all the same, and says so', () => {
  const told = stderrAtStart(['--max-old-space-size=99']);
  expect(told).toContain('CYCLAMENLEVER_SETTINGS');
  expect(told).toContain('compiled anew');
});

test('a host that is told twice to stop still answers until its time is over', async () => {
  // An operator's tool sends SIGTERM again while a host stops in order. The second
  // ended it at once, and cut off the requests that it was about to answer.
  const {child, port} = await spawnHost();
  const exit = once(child, 'exit');
  child.kill('SIGTERM');
  // Two turns of its loop: the first signal has been taken by then.
  await statusOf(port, '/any/');
  await statusOf(port, '/any/');
  child.kill('SIGTERM');
  child.kill('SIGINT');
  expect(await statusOf(port, '/any/')).toBe(503);
  expect(await statusOf(port, '/any/')).toBe(503);
  expect(await exit).toEqual([0, null]);
});
