import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {Agent, request} from 'undici';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {ControlConnector} from '../src/control/index.js';
import {
  LaggingHostList,
  MemoryLog,
  PlatformServer,
  UpstreamServer,
} from '../src/standins/index.js';
import {seededRandom, systemClock} from '../src/time/index.js';
import {FLEET_KEY, OPERATOR_KEY, until} from './support/system.js';

interface Daemon {
  readonly process: ChildProcess;
  readonly caller: string;
  readonly control: string;
  readonly admin: string;
}

const CALLERS = 12;
const BALANCER_POLL_MS = 50;

let platform: PlatformServer;
let platformUrl: string;
let upstreams: UpstreamServer[];
let daemons: Daemon[];
let ready: readonly Daemon[];
let running: boolean;
const agent = new Agent({keepAliveTimeout: 1_000});

beforeEach(async () => {
  platform = new PlatformServer(
    new MemoryLog(systemClock, seededRandom(1)),
    new LaggingHostList(systemClock),
  );
  platformUrl = `http://127.0.0.1:${await platform.listen()}`;
  upstreams = [];
  daemons = [];
  ready = [];
  running = true;
});

afterEach(async () => {
  running = false;
  daemons.forEach(({process}) => process.kill('SIGKILL'));
  await Promise.all(upstreams.map(one => one.close()));
  await platform.close();
});

async function startDaemon(name: string): Promise<Daemon> {
  const child = spawn(
    process.execPath,
    [
      'dist/daemon/main.js',
      ...['--host-id', name, '--data-centre', 'galway-east'],
      ...['--caller-address', '127.0.0.1:0'],
      ...['--control-address', '127.0.0.1:0'],
      ...['--admin-address', '127.0.0.1:0'],
      ...['--log-url', platformUrl, '--host-list-url', platformUrl],
      ...['--peers', daemons.map(({control}) => control).join(',')],
      ...['--drain-wait-ms', '400'],
    ],
    {
      stdio: ['ignore', 'pipe', 'inherit'],
      env: {
        CYCLAMENLEVER_FLEET_KEY: FLEET_KEY,
        CYCLAMENLEVER_OPERATOR_KEY: OPERATOR_KEY,
      },
    },
  );
  const lines = createInterface({input: child.stdout ?? process.stdin});
  for await (const line of lines) {
    const {ports} = JSON.parse(line) as {ports?: Record<string, number>};
    if (ports) {
      const at = (name: string): string => `127.0.0.1:${ports[name]}`;
      const daemon = {
        process: child,
        caller: at('caller'),
        control: at('control'),
        admin: at('admin'),
      };
      child.stdout?.resume();
      daemons.push(daemon);
      return daemon;
    }
  }
  throw new Error('the daemon ended before it started');
}

/** Does what the platform's balancer does: sends callers to ready hosts. */
async function pollReadiness(): Promise<void> {
  while (running) {
    const states = await Promise.all(
      daemons.map(async ({admin}) => {
        try {
          const answer = await request(`http://${admin}/readyz`);
          await answer.body.dump();
          return answer.statusCode === 200;
        } catch {
          return false;
        }
      }),
    );
    ready = daemons.filter((_, index) => states[index]);
    await new Promise(resolve => setTimeout(resolve, BALANCER_POLL_MS));
  }
}

async function sendRequests(
  failures: string[],
  counts: {sent: number},
): Promise<void> {
  while (running) {
    const number = counts.sent;
    counts.sent += 1;
    const daemon = ready[number % ready.length];
    const order = number % 3 === 0;
    try {
      const answer = await request(`http://${daemon?.caller}/${number}`, {
        method: order ? 'POST' : 'GET',
        headers: {host: 'swaps', 'x-request-id': String(number)},
        body: order ? 'swap' : null,
        dispatcher: agent,
      });
      const text = await answer.body.text();
      if (answer.statusCode !== 200) {
        failures.push(`${number}: ${answer.statusCode} ${text}`);
      }
    } catch (error) {
      failures.push(`${number}: ${String(error)}`);
    }
  }
}

test('all hosts are replaced under load and no request is cut off', async () => {
  // An operator rolls a new version out: each host gets SIGTERM in turn and a
  // new one takes its place. Callers must not notice.
  const [first] = [await startDaemon('a'), await startDaemon('b')];
  await startDaemon('c');
  const balancing = pollReadiness();
  await until(() => ready.length === 3);
  const lines: string[] = [];
  for (let i = 0; i < 3; i += 1) {
    const upstream = new UpstreamServer({
      name: `u${i}`,
      slots: 8,
      serviceMs: 5,
      random: seededRandom(i + 1),
    });
    upstreams.push(upstream);
    const port = await upstream.listen();
    lines.push(
      `create upstream u${i} of swaps at 127.0.0.1:${port} in galway-east slots 8`,
    );
  }
  const connector = new ControlConnector();
  const client = connector.client({
    address: first?.control ?? '',
    key: OPERATOR_KEY,
    timeoutMs: 20_000,
  });
  const report = await client.change.mutate({
    text: `create service swaps; create rule look of swaps method GET path /* kind repeatable; ${lines.join(';')}`,
    author: 'test',
    note: '',
    declaration: false,
  });
  expect(report).toMatchObject({kind: 'judged', verdict: {kind: 'accepted'}});
  const failures: string[] = [];
  const counts = {sent: 0};
  const callers = Array.from({length: CALLERS}, () =>
    sendRequests(failures, counts),
  );
  for (const old of [...daemons]) {
    const replaced = await startDaemon(`new-${daemons.length}`);
    await until(() => ready.includes(replaced));
    old.process.kill('SIGTERM');
    const [code] = (await once(old.process, 'exit')) as [number];
    expect(code).toBe(0);
  }
  running = false;
  await Promise.all([...callers, balancing]);
  await connector.close();
  expect(failures).toEqual([]);
  expect(counts.sent).toBeGreaterThan(100);
  const runs = upstreams.flatMap(one => one.runs);
  const orders = runs.filter(({method}) => method === 'POST');
  expect(new Set(orders.map(one => one.requestId)).size).toBe(orders.length);
});
