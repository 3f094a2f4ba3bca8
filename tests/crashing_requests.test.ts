import {afterEach, beforeEach, expect, test} from 'vitest';
import {ReportingUpstream} from '../src/standins/index.js';
import type {Call} from './support/gateway.js';
import {GatewaySystem} from './support/gateway.js';

const UPSTREAMS = 14;
const HOSTS = 3;
const ARRIVALS = 30;
/** Crashes that show the cause, ... */
const CRASHES_TO_KNOW = 3;
/** ... and sends that may be under way before all hosts know it. */
const SENDS_AFTER = 3;

const LOOKUP: Call = {path: '/lookup/crash'};
const ORDER: Call = {method: 'POST', path: '/order/crash', body: 'a bundle'};

let system: GatewaySystem;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(1);
  for (let i = 0; i < UPSTREAMS; i += 1) {
    await addUpstream(`i-${i}`);
  }
  for (let i = 0; i < HOSTS; i += 1) {
    await system.startReadyHost();
  }
});

afterEach(() => system.close());

async function addUpstream(id: string): Promise<void> {
  const upstream = new ReportingUpstream(id);
  upstream.crashTargets = new Set(['/lookup/crash', '/order/crash']);
  upstream.workMs = 10;
  upstream.countsRuns = true;
  system.upstreams.push(upstream);
  system.register(id, await upstream.listen(), 'ready');
}

function endedCount(): number {
  return system.upstreams.filter(({hasEnded}) => hasEnded).length;
}

async function sendToHostsInTurn(call: Call): Promise<void> {
  for (let i = 0; i < ARRIVALS; i += 1) {
    const host = system.hosts[i % HOSTS];
    if (host) {
      // A caller's hosts, or its mobile network, show several addresses.
      await system.call(host, {...call, from: `127.0.0.${1 + (i % 5)}`});
    }
  }
}

test.each([
  ['a lookup', LOOKUP],
  ['an order', ORDER],
])('%s that crashes upstreams is held back by all hosts', async (_, call) => {
  // Users saw a tenth and more of all requests refused for ten seconds and longer.
  // A caller's request ended the upstream that ran it; the host sent it to a
  // second one, told its caller 502, and the caller came again, at any host. Each
  // host kept to its budget of repeats, and 31 and 34 upstreams ended under two
  // requests: nothing remembered a request across sends, arrivals and hosts.
  // Evidence: upstreams with one run and five free slots ended one after the other;
  // all 14 upstreams of this test ended under its 30 arrivals.
  await sendToHostsInTurn(call);
  expect(endedCount()).toBeLessThanOrEqual(CRASHES_TO_KNOW + SENDS_AFTER);
  for (const host of system.hosts) {
    expect((await system.call(host)).status).toBe(200);
  }
});
