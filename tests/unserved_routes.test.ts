import {afterEach, beforeEach, expect, test} from 'vitest';
import {OPERATOR_TOPIC} from '../src/platform/index.js';
import type {RouteSpec} from '../src/standins/index.js';
import {configurationRecord} from '../src/standins/index.js';
import type {Milliseconds} from '../src/time/index.js';
import {sleep, systemClock} from '../src/time/index.js';
import {DEFAULT_ROUTES, GatewaySystem, until} from './support/gateway.js';

/** Time after its acknowledgement by which every host must serve a route. */
const PROPAGATION_BOUND_MS: Milliseconds = 2_000;
const POLL_INTERVAL_MS: Milliseconds = 50;
const NEW_ROUTE: RouteSpec = {path_prefix: '/new/', kind: 'idempotent'};
const SERVICES = ['listings', 'swaps'];

let system: GatewaySystem;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(1);
  await system.addUpstream('i-1');
  for (const dataCentre of ['east', 'east', 'west']) {
    await system.startReadyHost(dataCentre);
  }
  await until(
    () => system.hosts.filter(({host}) => host.isReader).length === 1,
  );
});

afterEach(() => system.close());

/** Status of each host's answer. */
function statuses(path: string): Promise<readonly number[]> {
  const calls = system.hosts.map(host => system.call(host, {path}));
  return Promise.all(calls.map(async call => (await call).status));
}

/** Each host's answer once all are as expected, or when the bound has passed. */
async function settledStatuses(
  path: string,
  expected: number,
): Promise<readonly number[]> {
  const until = systemClock.now() + PROPAGATION_BOUND_MS;
  for (;;) {
    const all = await statuses(path);
    const isSettled = all.every(status => status === expected);
    if (isSettled || systemClock.now() >= until) {
      return all;
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

/** The record of a configuration, with a change to its resources. */
function recordWith(
  version: number,
  routes: readonly RouteSpec[],
  change: (resources: Resource[]) => void,
): string {
  const record = JSON.parse(configurationRecord(version, routes, SERVICES)) as {
    resources: Resource[];
  };
  change(record.resources);
  return JSON.stringify(record);
}

type Resource = Record<string, unknown> & {spec: Record<string, unknown>};

function write(record: string): void {
  system.storeServer.put(OPERATOR_TOPIC, 'config', record);
}

// Guards against a page without the next record that counts as a read of everything.
test.each([
  ['in the middle of its record', 200],
  ['within its header', 10],
  ['before its first byte', 0],
])('a route is served though pages of the store end %s', async (_, bytes) => {
  system.storeServer.maxPageBytes = bytes;
  system.configure(2, [...DEFAULT_ROUTES, NEW_ROUTE]);
  expect(await settledStatuses('/new/1', 200)).toEqual([200, 200, 200]);
});

// Guards against a reader that waits past the end of the log and takes that for no change.
test('a route is served though the log ends before the reader’s position', async () => {
  for (let version = 2; version < 6; version += 1) {
    system.configure(version);
  }
  await until(() => system.hosts.every(({host}) => host.version === 5));
  system.storeServer.loseLast(OPERATOR_TOPIC, 4);
  system.configure(6, [...DEFAULT_ROUTES, NEW_ROUTE]);
  expect(await settledStatuses('/new/1', 200)).toEqual([200, 200, 200]);
});

// Guards against a reader that spends the store's call limit, which all hosts share.
test.each([
  ['answers waiting reads at once', Infinity],
  ['answers with pages cut off', 10],
])('a store that %s is not read in a tight loop', async (_, bytes) => {
  system.storeServer.ignoresWaits = true;
  system.storeServer.maxPageBytes = bytes;
  await sleep(PROPAGATION_BOUND_MS);
  const before = system.storeServer.callCount;
  await sleep(PROPAGATION_BOUND_MS);
  // Three topics, each read every 250 ms and once more for a snapshot.
  const allowed = (3 * 2 * PROPAGATION_BOUND_MS) / 250;
  expect(system.storeServer.callCount - before).toBeLessThanOrEqual(allowed);
});

// Guards against a configuration that is dropped because of an entry that is to be skipped.
test.each([
  ['an unknown kind without a spec', {resource_kind: 'mirrors'}],
  ['an unknown kind with a list', {resource_kind: 'mirrors', spec: []}],
  ['no kind', {spec: {}}],
  ['null', null],
  ['a number', 7],
])('a route is served beside an entry with %s', async (_, entry) => {
  const routes = [...DEFAULT_ROUTES, NEW_ROUTE];
  write(
    recordWith(2, routes, all => all.unshift(entry as unknown as Resource)),
  );
  expect(await settledStatuses('/new/1', 200)).toEqual([200, 200, 200]);
});

// Guards against a configuration that is dropped because a missing field is written as null.
test.each([
  'traffic_split',
  'allowed_regions',
  'priority',
  'max_attempts',
  'public',
])('a route is served whose %s is null', async field => {
  const routes = [...DEFAULT_ROUTES, {...NEW_ROUTE, [field]: null}];
  write(recordWith(2, routes, () => undefined));
  expect(await settledStatuses('/new/1', 200)).toEqual([200, 200, 200]);
});

// Guards against one route that holds back all changes of the others.
test('a route that can’t be decoded is refused as not run, others are served', async () => {
  const bad = {
    path_prefix: '/lookup/bad/',
    kind: 'idempotent',
    timeout: 'long',
  };
  write(
    recordWith(
      2,
      [...DEFAULT_ROUTES, NEW_ROUTE, bad as RouteSpec],
      () => undefined,
    ),
  );
  expect(await settledStatuses('/new/1', 200)).toEqual([200, 200, 200]);
  expect(await statuses('/lookup/bad/1')).toEqual([503, 503, 503]);
});

// Guards against a 404 for a route of a configuration that is known and can't be used.
test('hosts that can’t use the newest configuration refuse unknown routes as not run', async () => {
  write(
    recordWith(2, [...DEFAULT_ROUTES, NEW_ROUTE], ([first]) => {
      delete first?.spec['hostname'];
    }),
  );
  expect(await settledStatuses('/new/1', 503)).toEqual([503, 503, 503]);
  expect(await statuses('/lookup/1')).toEqual([200, 200, 200]);
});

// Guards against a host that starts from one whose newest configuration can't be used.
test('a host that starts beside them refuses unknown routes as not run', async () => {
  write(
    recordWith(2, [...DEFAULT_ROUTES, NEW_ROUTE], ([first]) => {
      delete first?.spec['hostname'];
    }),
  );
  await settledStatuses('/new/1', 503);
  await system.startReadyHost('west');
  expect((await statuses('/new/1')).at(-1)).toBe(503);
});

test('a valid configuration ends the refusals of unknown routes', async () => {
  write('{"version":"r2"}');
  await until(async () => (await statuses('/other/1')).includes(503));
  system.configure(3);
  await until(async () =>
    (await statuses('/other/1')).every(status => status === 404),
  );
});
