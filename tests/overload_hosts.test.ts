import {afterEach, beforeEach, expect, test} from 'vitest';
import type {Call, Reply, RunningHost} from './support/gateway.js';
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
const URGENT_INTERVAL_MS = 50;
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

/** Replies to a caller that returns once, as its Retry-After says. */
async function callTwice(call: Call, first: number): Promise<readonly Reply[]> {
  const replies: Reply[] = [];
  for (const index of [first, first + 1]) {
    const host = hosts[index % hosts.length];
    const reply = host && (await system.call(host, call));
    if (reply) {
      replies.push(reply);
    }
    if (reply?.status !== 503) {
      break;
    }
    await sleep(1_000 * Number(reply.headers['retry-after']));
  }
  return replies;
}

/** Sends requests to the hosts in turn; resolves with the replies to each. */
async function load(
  key: string,
  intervalMs: number,
  forMs: number,
): Promise<readonly (readonly Reply[])[]> {
  const replies: Promise<readonly Reply[]>[] = [];
  const startedAt = performance.now();
  for (let ms = 0; ms < forMs; ms = performance.now() - startedAt) {
    // Makes up for late timers: on a busy machine there would be no overload.
    while (replies.length * intervalMs <= ms) {
      const path = `/lookup/${replies.length}`;
      const call = {path, key, timeLeftMs: 5_000};
      replies.push(callTwice(call, replies.length));
    }
    await sleep(intervalMs);
  }
  return Promise.all(replies);
}

function servedShare(callers: readonly (readonly Reply[])[]): number {
  const served = callers.filter(replies => replies.at(-1)?.status === 200);
  return served.length / callers.length;
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
  const shed = greedy.flat().filter(isShed);
  expect(shed.length).toBeGreaterThan(greedy.length / 10);
  const delays = shed.map(({headers}) => Number(headers['retry-after']));
  expect(Math.min(...delays)).toBeGreaterThan(0);
  expect(Math.max(...delays)).toBeLessThanOrEqual(5 / 3 + 0.01);
  // In steps of 10 ms, within a third of 1.5 s.
  expect(new Set(delays).size).toBeGreaterThan(15);
  // The first requests of the burst meet hosts without a plan.
  expect(servedShare(urgent.slice(10))).toBeGreaterThan(0.9);
  expect(servedShare(greedy)).toBeLessThan(0.75);
  expect(urgent.flat().some(isShed)).toBe(false);
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
  expect(replies.flat().filter(isShed)).toEqual([]);
  expect(servedShare(replies)).toBeLessThan(0.8);
});
