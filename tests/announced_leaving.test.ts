import {afterEach, beforeEach, expect, test} from 'vitest';
import {LeavingTable} from '../src/decisions/leaving/index.js';
import {UpstreamRegistry} from '../src/decisions/registry/index.js';
import {decodeGossip, encodeGossip} from '../src/gossip/index.js';
import {LEAVING_CODEC} from '../src/leaving/index.js';
import {readLeaving} from '../src/platform/index.js';
import type {Milliseconds} from '../src/time/index.js';
import {ManualClock} from '../src/time/index.js';
import type {Reply} from './support/gateway.js';
import {GatewaySystem, until} from './support/gateway.js';
import {registered} from './support/upstreams.js';

/** Time after which a leaving upstream must receive no requests or probes. */
const DRAIN_MS: Milliseconds = 2_000;
const PAUSE_MS: Milliseconds = 10;
/** Time for an announcement to reach other hosts by gossip. */
const GOSSIP_MS: Milliseconds = 300;

let system: GatewaySystem;

beforeEach(() => {
  system = new GatewaySystem();
  system.configure(1);
});

afterEach(() => system.close());

/** Calls the hosts in turn until the time has passed. */
async function generateLoad(
  hosts: GatewaySystem['hosts'],
  forMs: Milliseconds,
): Promise<readonly Reply[]> {
  const endAt = performance.now() + forMs;
  const replies: Reply[] = [];
  while (performance.now() < endAt) {
    for (const host of hosts) {
      replies.push(await system.call(host));
    }
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
  }
  return replies;
}

// Guards against sending to a leaving upstream whose record still says ready.
test('an upstream that announces that it is leaving receives nothing more', async () => {
  const leaving = await system.addUpstream('i-leaving');
  await system.addUpstream('i-1');
  await system.startReadyHost();
  await system.startReadyHost();
  await generateLoad(system.hosts, 500);
  leaving.announcesLeaving = true;
  await generateLoad(system.hosts, DRAIN_MS);
  let arrivals = 0;
  leaving.subscribeToArrivals(() => {
    arrivals += 1;
  });
  const probes = leaving.probes;
  const replies = await generateLoad(system.hosts, DRAIN_MS);
  expect(arrivals).toBe(0);
  expect(leaving.probes).toBe(probes);
  expect(replies.every(({status}) => status === 200)).toBe(true);
});

// Guards against hosts that learn of an announcement only from their own requests.
test('other hosts learn by gossip that an upstream is leaving', async () => {
  const leaving = await system.addUpstream('i-leaving');
  const informed = await system.startReadyHost();
  const other = await system.startReadyHost();
  await until(() => informed.host.isCounted && other.host.isCounted);
  leaving.announcesLeaving = true;
  await system.call(informed);
  await new Promise(resolve => setTimeout(resolve, GOSSIP_MS));
  const {probes} = leaving;
  expect((await system.call(other)).status).toBe(503);
  expect(leaving.probes).toBe(probes);
  expect(leaving.runs).toEqual([]);
});

// Guards against a heartbeat record that returns a leaving upstream to service.
test('a ready record does not return a leaving upstream to service', async () => {
  const leaving = await system.addUpstream('i-leaving');
  const host = await system.startReadyHost();
  leaving.announcesLeaving = true;
  await system.call(host);
  system.register('i-leaving', leaving.address, 'ready', 'listings', {seq: 2});
  await generateLoad([host], 500);
  expect(leaving.runs).toEqual([]);
});

// Guards against queueing requests when all upstreams of a service are leaving.
test('requests are refused when all upstreams are leaving', async () => {
  const leaving = await system.addUpstream('i-leaving');
  const host = await system.startReadyHost();
  leaving.announcesLeaving = true;
  await system.call(host);
  const {status, headers} = await system.call(host);
  expect(status).toBe(503);
  expect(Number(headers['retry-after'])).toBeGreaterThan(0);
});

test.each(['', '0', 'true', '1, 1', '1e0'])(
  'a Server-Leaving of "%s" is malformed',
  text => {
    expect(readLeaving({'server-leaving': text})).toBe('malformed');
  },
);

// Guards against treating a removed upstream as lapsed after it announced leaving.
test('a removed upstream that announced leaving is gone after a store outage', () => {
  const clock = new ManualClock(0);
  const registry = new UpstreamRegistry(clock);
  const upstream = registered('a');
  registry.load({
    entries: [{kind: 'present', name: 'a', position: 1, upstream}],
    end: 2,
  });
  registry.markLeaving('a');
  expect(registry.inService('s')).toEqual([]);
  expect(registry.find('a')?.leaving).toBe(true);
  registry.noteStoreUnavailable();
  registry.apply([{kind: 'removed', name: 'a', position: 2}], 3);
  expect(registry.find('a')).toBe(undefined);
});

test('leaving records are added once, expire and are bounded in number', () => {
  const clock = new ManualClock(0);
  const table = new LeavingTable(clock);
  expect(table.note('u')).toBe(true);
  expect(table.note('u')).toBe(false);
  expect(table.merge({upstream: 'u', ageMs: 5})).toBe(false);
  expect(table.merge({upstream: 'old', ageMs: 60_000})).toBe(false);
  clock.advance(60_001);
  table.prune();
  expect(table.size).toBe(0);
  for (let i = 0; i < 5_000; i += 1) {
    table.merge({upstream: `u${i}`, ageMs: 0});
  }
  expect(table.size).toBeLessThanOrEqual(1_024);
});

test('leaving records survive encoding and invalid rows are rejected', () => {
  const message = {
    kind: 'report',
    records: [{upstream: 'u', ageMs: 10}],
  } as const;
  const codec = LEAVING_CODEC;
  expect(decodeGossip(encodeGossip(message, codec), codec)).toEqual(message);
  for (const row of [['u', -1], ['', 1], ['u'], 'u', null]) {
    expect(LEAVING_CODEC.decode(row)).toBe(undefined);
  }
});
