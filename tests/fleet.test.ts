import {afterEach, beforeEach, expect, test} from 'vitest';
import {OPERATOR_TOPIC, UPSTREAM_TOPIC} from '../src/platform/index.js';
import {GatewaySystem, until} from './support/gateway.js';

let system: GatewaySystem;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(1);
  await system.addUpstream('i-1');
});

afterEach(() => system.close());

async function serves(index: number, path: string): Promise<boolean> {
  const host = system.hosts[index];
  return !!host && (await system.call(host, {path})).status === 200;
}

test('one host of a data centre reads the store for the others', async () => {
  await system.startReadyHost();
  await system.startReadyHost();
  await system.startReadyHost();
  await until(
    () => system.hosts.filter(({host}) => host.isReader).length === 1,
  );
});

test('one host reads the store for all data centres', async () => {
  // Calls to the store cost money: one reader per data centre made four times
  // as many of them as the fleet needs.
  for (const dataCentre of ['east', 'west', 'north']) {
    await system.startReadyHost(dataCentre);
    await system.startReadyHost(dataCentre);
  }
  await until(
    () => system.hosts.filter(({host}) => host.isReader).length === 1,
  );
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  for (const index of system.hosts.keys()) {
    await until(() => serves(index, '/new/1'));
  }
});

test('each data centre reads on its own once the reader has failed', async () => {
  // The reader of the fleet fails as the configuration changes. Hosts of other
  // data centres must not wait until a new one is found.
  const reader = await system.startReadyHost('east');
  await system.startReadyHost('west');
  await system.startReadyHost('north');
  await until(() => system.hosts.filter(({host}) => host.isReader).length <= 1);
  await reader.host.stopNow();
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  await until(() => serves(1, '/new/1'));
  await until(() => serves(2, '/new/1'));
});

test('a restarted host does not register again', async () => {
  // All hosts lose power and restart. Each store call that they make then costs
  // money, and a hundred of them reach the store in the same second.
  const first = await system.startReadyHost();
  const {ports} = first;
  await first.host.stopNow();
  const registered = system.storeServer.calls.get('/api/log-append');
  await system.startHost('east', {peers: ports.peers, firstStart: false});
  await until(() => serves(1, '/lookup/1'));
  expect(system.storeServer.calls.get('/api/log-append')).toBe(registered);
});

test('a host that restarts beside another makes no call to the store', async () => {
  // Half of the hosts lose power and restart. Each store call that they make then
  // costs money, and the other hosts have all the data that they need.
  await system.startReadyHost();
  const second = await system.startReadyHost();
  await second.host.stopNow();
  const before = new Map(system.storeServer.calls);
  const {peers} = second.ports;
  const again = await system.startHost('east', {peers, firstStart: false});
  await until(() => serves(2, '/lookup/1'));
  expect(again.host.isReader).toBe(false);
  for (const call of ['/api/log-append', '/api/log-newest']) {
    expect(system.storeServer.calls.get(call)).toBe(before.get(call));
  }
});

test('a change reaches followers', async () => {
  await system.startReadyHost();
  await system.startReadyHost();
  await until(() => system.hosts[1]?.host.isReader === false);
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  await until(() => serves(1, '/new/1'));
});

test('another host reads when the reader fails', async () => {
  // The host that reads for its data centre is killed. A change made right
  // then must reach the others, or they route by a configuration that the
  // operator believes is replaced.
  const reader = await system.startReadyHost();
  await system.startReadyHost();
  await until(() => system.hosts[1]?.host.isReader === false);
  await reader.host.stopNow();
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  await until(() => serves(1, '/new/1'));
  expect(system.hosts[1]?.host.isReader).toBe(true);
});

test('a reader whose reads of the configuration get no answer is replaced', async () => {
  await system.startReadyHost('east');
  await system.startReadyHost('east');
  await system.startReadyHost('west');
  const readers = () => system.hosts.filter(({host}) => host.isReader);
  await until(() => readers().length === 1);
  readers()[0]?.storeEndpoint.lostTopics.add(OPERATOR_TOPIC);
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  for (const index of system.hosts.keys()) {
    await until(() => serves(index, '/new/1'));
  }
});

test('a reader that stops is replaced before it has ended', async () => {
  const reader = await system.startReadyHost();
  await system.startReadyHost();
  await until(() => system.hosts[1]?.host.isReader === false);
  const stopped = reader.host.stop();
  await until(() => system.hosts[1]?.host.isReader === true);
  await stopped;
});

test('hosts keep serving in a store outage and receive changes afterwards', async () => {
  await system.startReadyHost();
  system.storeServer.fault = 'silent';
  expect(await serves(0, '/lookup/1')).toBe(true);
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  system.storeServer.fault = 'none';
  await until(() => serves(0, '/new/1'));
});

test('a host that starts in a store outage is ready once the store is back', async () => {
  system.storeServer.fault = 'refuse';
  const host = await system.startHost();
  expect((await system.call(host)).status).toBe(503);
  system.storeServer.fault = 'none';
  await until(() => serves(0, '/lookup/1'));
});

test('after its history is trimmed, a topic is read from the newest records', async () => {
  await system.startReadyHost();
  system.storeServer.trim('keyed.op');
  system.storeServer.trim('keyed.servers');
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  await until(() => serves(0, '/new/1'));
});

test('a store whose long polls return no changes delays none for long', async () => {
  // While the store drops its history, long polls return no changes. A host that
  // polls for longer than a change may take to be in force keeps routing by the
  // old configuration.
  await system.startReadyHost();
  system.storeServer.fault = 'deaf';
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  await until(() => serves(0, '/new/1'));
  for (const topic of [OPERATOR_TOPIC, UPSTREAM_TOPIC]) {
    const waitMs = system.storeServer.longestWaits.get(topic);
    expect(waitMs).toBeLessThanOrEqual(1_500);
  }
});

test('an invalid record leaves the last valid one in force', async () => {
  await system.startReadyHost();
  system.storeServer.put('keyed.op', 'config', '{"version":"r7"');
  system.storeServer.put('keyed.servers', 'i-1', 'nonsense');
  system.configure(8, [
    {path_prefix: '/lookup/', kind: 'idempotent'},
    {path_prefix: '/new/', kind: 'idempotent'},
  ]);
  await until(() => serves(0, '/new/1'));
  expect(await serves(0, '/lookup/1')).toBe(true);
});

test.each(['refuse', 'limit', 'reset', 'silent'] as const)(
  'a host whose store calls fail with %s receives changes from another',
  async fault => {
    // The store fails single hosts and serves the others. The reader is among
    // them, so that no host would receive a change.
    const first = await system.startReadyHost('east');
    await system.startReadyHost('west');
    await until(() => system.hosts[1]?.host.isReader === false);
    first.storeEndpoint.fault = fault;
    // The pending long poll is still answered, the next one isn't.
    system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
    await until(() => serves(0, '/new/1'));
    system.configure(3, [{path_prefix: '/newer/', kind: 'idempotent'}]);
    await until(() => serves(1, '/newer/1'));
    await until(() => serves(0, '/newer/1'));
  },
);

test('many hosts that start at once get by with a low rate limit of the store', async () => {
  // All hosts lose power and restart in the same second. The store refuses calls
  // beyond its rate limit; hosts that retry at once would keep it refusing.
  system.storeServer.reads.perSecond = 15;
  const starts = Array.from({length: 12}, () => system.startReadyHost());
  await Promise.all(starts);
  expect(system.hosts).toHaveLength(12);
});

test('the fleet limits its calls during a store outage', async () => {
  // The store refuses all calls for seconds. When each of twenty hosts asks it for the
  // configuration and the upstreams each second, it receives 80 calls in the time of
  // this test, and 2,000 in eight seconds of a fleet of 120.
  for (let i = 0; i < 20; i += 1) {
    await system.startReadyHost();
  }
  await until(
    () => system.hosts.filter(({host}) => host.isReader).length === 1,
  );
  system.storeServer.fault = 'refuse';
  const before = system.storeServer.callCount;
  await new Promise(resolve => setTimeout(resolve, 2_500));
  expect(system.storeServer.callCount - before).toBeLessThan(50);
  system.storeServer.fault = 'none';
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  for (const index of system.hosts.keys()) {
    await until(() => serves(index, '/new/1'));
  }
});
