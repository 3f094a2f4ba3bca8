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
  // Calls to the store are paid for: one reader a data centre made four times
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

test('each data centre reads on its own once the reader is gone', async () => {
  // The reader of the fleet dies as the configuration changes. Hosts of other
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

test('a host that starts again keeps its place and registers once', async () => {
  // All hosts lose power and return. Each call that they make then is paid
  // for, and a hundred of them meet the store in the same second.
  const first = await system.startReadyHost();
  const {ports} = first;
  await first.host.stopNow();
  const registered = system.storeServer.calls.get('/api/log-append');
  await system.startHost('east', {peers: ports.peers, firstStart: false});
  await until(() => serves(1, '/lookup/1'));
  expect(system.storeServer.calls.get('/api/log-append')).toBe(registered);
});

test('a host that starts again beside another makes no call to the store', async () => {
  // Half of the hosts lose power and return. Each call that they make then is
  // paid for, and others know all that they need.
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

test('a change reaches those that follow', async () => {
  await system.startReadyHost();
  await system.startReadyHost();
  await until(() => system.hosts[1]?.host.isReader === false);
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  await until(() => serves(1, '/new/1'));
});

test('another host reads when the reader dies', async () => {
  // The host that reads for its data centre is killed. A change made right
  // then must reach the others, or they send by a configuration that the
  // operator believes is gone.
  const reader = await system.startReadyHost();
  await system.startReadyHost();
  await until(() => system.hosts[1]?.host.isReader === false);
  await reader.host.stopNow();
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  await until(() => serves(1, '/new/1'));
  expect(system.hosts[1]?.host.isReader).toBe(true);
});

test('a reader gives way whose reads of the configuration get no answer', async () => {
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

test('a reader that stops hands over before it has ended', async () => {
  const reader = await system.startReadyHost();
  await system.startReadyHost();
  await until(() => system.hosts[1]?.host.isReader === false);
  const stopped = reader.host.stop();
  await until(() => system.hosts[1]?.host.isReader === true);
  await stopped;
});

test('hosts serve on while the store is away and hear of changes after', async () => {
  await system.startReadyHost();
  system.storeServer.fault = 'silent';
  expect(await serves(0, '/lookup/1')).toBe(true);
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  system.storeServer.fault = 'none';
  await until(() => serves(0, '/new/1'));
});

test('a host that starts while the store is away is ready after its return', async () => {
  system.storeServer.fault = 'refuse';
  const host = await system.startHost();
  expect((await system.call(host)).status).toBe(503);
  system.storeServer.fault = 'none';
  await until(() => serves(0, '/lookup/1'));
});

test('a history that is gone is read anew from the newest records', async () => {
  await system.startReadyHost();
  system.storeServer.trim('keyed.op');
  system.storeServer.trim('keyed.servers');
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  await until(() => serves(0, '/new/1'));
});

test('a store that is deaf to those who wait delays no change for long', async () => {
  // While the store drops its history, waiting reads hear of nothing. A host
  // that waits longer than a change may take to be in force keeps sending by
  // the old configuration.
  await system.startReadyHost();
  system.storeServer.fault = 'deaf';
  system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
  await until(() => serves(0, '/new/1'));
  for (const topic of [OPERATOR_TOPIC, UPSTREAM_TOPIC]) {
    const waitMs = system.storeServer.longestWaits.get(topic);
    expect(waitMs).toBeLessThanOrEqual(1_500);
  }
});

test('a record that cannot be read leaves the last good one in force', async () => {
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
  'a host that the store meets with %s hears of changes from another',
  async fault => {
    // The store turns single hosts away and serves the others. The one that
    // reads for all is among them, so that nobody would hear of a change.
    const first = await system.startReadyHost('east');
    await system.startReadyHost('west');
    await until(() => system.hosts[1]?.host.isReader === false);
    first.storeEndpoint.fault = fault;
    // The read that waits already is still answered, the next one isn't.
    system.configure(2, [{path_prefix: '/new/', kind: 'idempotent'}]);
    await until(() => serves(0, '/new/1'));
    system.configure(3, [{path_prefix: '/newer/', kind: 'idempotent'}]);
    await until(() => serves(1, '/newer/1'));
    await until(() => serves(0, '/newer/1'));
  },
);

test('many hosts that start at once get along with a slow rate of calls', async () => {
  // All hosts lose power and return in the same second. The store refuses
  // calls beyond its rate; hosts that repeat at once would keep it refusing.
  system.storeServer.reads.perSecond = 15;
  const starts = Array.from({length: 12}, () => system.startReadyHost());
  await Promise.all(starts);
  expect(system.hosts).toHaveLength(12);
});

test('hosts share the calls to a store that is away', async () => {
  // The store refuses all for seconds. Each of twenty hosts asked it for the
  // configuration and for the upstreams, each second: 80 calls in the time of
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
