import {afterEach, beforeEach, expect, test} from 'vitest';
import type {Reply, RunningHost} from './support/gateway.js';
import {GatewaySystem, until} from './support/gateway.js';
import type {RouteSpec} from '../src/standins/index.js';
import {sleep} from '../src/time/index.js';

const ROUTES: readonly RouteSpec[] = [
  {path_prefix: '/lookup/', kind: 'idempotent', public: false},
];
const URGENT = {name: 'urgent', keys: ['urgent-key'], priority: 0};
const GREEDY = {name: 'greedy', keys: ['greedy-key'], priority: 1};
const WORK_MS = 100;
const SLOTS = 4;
/** Three times what two upstreams serve. */
const GREEDY_INTERVAL_MS = 4;
const URGENT_INTERVAL_MS = 100;
const LOAD_MS = 2_500;

let system: GatewaySystem;
let hosts: readonly RunningHost[];

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(3, ROUTES, {}, {}, [URGENT, GREEDY]);
  for (const id of ['i-1', 'i-2']) {
    const upstream = await system.addUpstream(id);
    upstream.workMs = WORK_MS;
    upstream.load = {running: 0, waiting: 0, slots: SLOTS, percent: 100};
    upstream.reportsActiveRequests = true;
  }
  hosts = [await system.startReadyHost()];
  hosts = [...hosts, await system.startReadyHost()];
  hosts = [...hosts, await system.startReadyHost()];
});

afterEach(() => system.close());

/** Sends requests to the hosts in turn; resolves with all replies. */
async function load(
  key: string,
  intervalMs: number,
  forMs: number,
): Promise<readonly Reply[]> {
  const replies: Promise<Reply>[] = [];
  const startedAt = performance.now();
  while (performance.now() - startedAt < forMs) {
    const host = hosts[replies.length % hosts.length];
    if (host) {
      const path = `/lookup/${replies.length}`;
      replies.push(system.call(host, {path, key, timeLeftMs: 5_000}));
    }
    await sleep(intervalMs);
  }
  return Promise.all(replies);
}

function shareOf(replies: readonly Reply[], status: number): number {
  const matching = replies.filter(one => one.status === status);
  return matching.length / replies.length;
}

function isShed({status, body}: Reply): boolean {
  return status === 503 && body.includes(':shed');
}

// Guards against plans that don't reach real hosts, and refusals without a Retry-After.
test('an urgent customer is served while hosts shed a greedy one', async () => {
  const [urgent, greedy] = await Promise.all([
    load('urgent-key', URGENT_INTERVAL_MS, LOAD_MS),
    load('greedy-key', GREEDY_INTERVAL_MS, LOAD_MS),
  ]);
  const shed = greedy.filter(isShed);
  expect(shed.length).toBeGreaterThan(greedy.length / 10);
  const delays = shed.map(({headers}) => Number(headers['retry-after']));
  expect(Math.min(...delays)).toBeGreaterThan(0);
  expect(Math.max(...delays)).toBeLessThanOrEqual(5 / 3 + 0.01);
  expect(new Set(delays).size).toBeGreaterThan(shed.length / 20);
  // The first requests of the burst meet hosts without a plan.
  expect(shareOf(urgent.slice(5), 200)).toBeGreaterThan(0.9);
  expect(urgent.some(isShed)).toBe(false);
  await until(async () => {
    const [host] = hosts;
    const reply = host && (await system.call(host, {key: 'greedy-key'}));
    return reply?.status === 200;
  });
});

// Guards against overload control where the configuration has no customers.
test('without customers nothing is shed', async () => {
  system.configure(7, ROUTES);
  const [host] = hosts;
  await until(async () => {
    const reply = host && (await system.call(host));
    return reply?.status === 200;
  });
  const replies = await load('no-key', GREEDY_INTERVAL_MS, 1_500);
  expect(replies.filter(isShed)).toEqual([]);
  expect(shareOf(replies, 503)).toBeGreaterThan(0.2);
});
