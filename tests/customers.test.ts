import {afterEach, beforeEach, expect, test} from 'vitest';
import type {Customer} from '../src/decisions/customers/index.js';
import {CustomerDirectory, identify} from '../src/decisions/customers/index.js';
import {fingerprintsOf} from '../src/gateway/index.js';
import {decodeConfiguration} from '../src/platform/index.js';
import type {ReportingUpstream, RouteSpec} from '../src/standins/index.js';
import {configurationRecord} from '../src/standins/index.js';
import type {IncomingMessage} from 'node:http';
import {GatewaySystem, type RunningHost, until} from './support/gateway.js';

const ROUTES: readonly RouteSpec[] = [
  {path_prefix: '/lookup/', kind: 'idempotent'},
  {path_prefix: '/order/', kind: 'non_idempotent'},
  {path_prefix: '/status/', kind: 'idempotent', public: true},
];
const MAPS = {name: 'maps', keys: ['key-of-maps', 'other-key-of-maps']};
const COURTS = {name: 'courts', keys: ['key-of-courts']};
const CUSTOMER_HEADER = 'cyclamenlever-tenant-id';

let system: GatewaySystem;
let host: RunningHost;
let upstream: ReportingUpstream;

beforeEach(async () => {
  system = new GatewaySystem();
  system.configure(3, ROUTES, {}, {}, [MAPS, COURTS]);
  upstream = await system.addUpstream('i-1');
  host = await system.startReadyHost();
});

afterEach(() => system.close());

// Guards against requests that run although their key is missing or invalid.
test.each([
  ['no key', {}],
  ['an unknown key', {key: 'key-of-nobody'}],
  ['a key in another scheme', {headers: {authorization: 'Basic key-of-maps'}}],
])('a request with %s gets 401 and is not sent', async (_name, call) => {
  const reply = await system.call(host, {path: '/lookup/1', ...call});
  expect(reply.status).toBe(401);
  expect(reply.headers['www-authenticate']).toBe('Bearer');
  expect(upstream.runs).toEqual([]);
});

// Guards against keys that leak to upstreams, and against forged customer names.
test('an upstream gets the name of the customer and no key', async () => {
  const reply = await system.call(host, {
    path: '/lookup/1',
    key: 'other-key-of-maps',
    headers: {[CUSTOMER_HEADER]: 'courts'},
  });
  expect(reply.status).toBe(200);
  const headers = upstream.runs[0]?.headers;
  expect(headers?.get(CUSTOMER_HEADER)).toBe('maps');
  expect(headers?.has('authorization')).toBe(false);
});

// Guards against callers without a key that pass for a customer on a public route.
test('on a public route an upstream gets no forged name and no key', async () => {
  const reply = await system.call(host, {
    path: '/status/1',
    key: 'key-of-nobody',
    headers: {[CUSTOMER_HEADER]: 'courts'},
  });
  expect(reply.status).toBe(200);
  const headers = upstream.runs[0]?.headers;
  expect(headers?.has(CUSTOMER_HEADER)).toBe(false);
  expect(headers?.has('authorization')).toBe(false);
});

// Guards against a key that stays valid on connections opened before it was removed.
test('a key that is removed is refused, and one that is added is accepted', async () => {
  const renewed = {...MAPS, keys: ['key-of-maps', 'new-key']};
  system.configure(7, ROUTES, {}, {}, [renewed, COURTS]);
  const call = (key: string) => system.call(host, {path: '/lookup/1', key});
  await until(async () => (await call('new-key')).status === 200);
  expect((await call('other-key-of-maps')).status).toBe(401);
  expect((await call('key-of-maps')).status).toBe(200);
});

// Guards against 401, after which callers don't retry, from a host that lags behind.
test('a host with stale data answers an unknown key with 503', async () => {
  system.storeServer.fault = 'refuse';
  await until(() => !host.host.isFresh);
  const reply = await system.call(host, {path: '/lookup/1', key: 'added'});
  expect(reply.status).toBe(503);
  expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
  const known = {path: '/lookup/1', key: 'key-of-maps'};
  expect((await system.call(host, known)).status).toBe(200);
});

// Guards against deployments without customers losing headers that they forward today.
test('without customers the Authorization header is forwarded', async () => {
  system.configure(9, ROUTES);
  const call = {path: '/lookup/1', key: 'key-of-maps'};
  await until(async () => {
    await system.call(host, call);
    return upstream.runs.at(-1)?.headers.has('authorization') ?? false;
  });
  expect(upstream.runs.at(-1)?.headers.has(CUSTOMER_HEADER)).toBe(false);
});

// Guards against one customer that uses the name and quota of another.
test('a configuration with a key of two customers is rejected without naming the key', () => {
  const thief = {name: 'thief', keys: ['key-of-courts']};
  const record = configurationRecord(4, ROUTES, ['s'], {}, {}, [COURTS, thief]);
  const error = decodeConfiguration(record)._unsafeUnwrapErr();
  expect(error.message).toContain('courts and thief');
  expect(error.message).not.toContain('key-of-courts');
});

test('a customer has its priority and quota from the configuration', () => {
  const record = configurationRecord(4, ROUTES, ['s'], {}, {}, [
    {...MAPS, priority: 1, ratePerSecond: 95, burst: 90},
    {...COURTS, ratePerSecond: 0},
  ]);
  const {customers} = decodeConfiguration(record)._unsafeUnwrap().table;
  expect(customers).toEqual([
    {...MAPS, priority: 1, quota: {ratePerSecond: 95, burst: 90}},
    {...COURTS, priority: undefined, quota: undefined},
  ]);
});

test('downloads are repeatable and have large responses', () => {
  const record = configurationRecord(
    4,
    [
      {path_prefix: '/scan/', kind: 'download'},
      {path_prefix: '/scans/', kind: 'upload'},
    ],
    ['s'],
  );
  const {routes} = decodeConfiguration(record)._unsafeUnwrap().table;
  expect(routes[0]).toMatchObject({repeatable: true, hasLargeResponses: true});
  expect(routes[1]).toMatchObject({
    repeatable: false,
    hasLargeResponses: false,
  });
});

// Guards against a crashing request that escapes quarantine with its customer's other key.
test('a fingerprint depends on the customer, not on the key', () => {
  const fingerprintOf = (key: string, customer: string | undefined): string => {
    const headers = {host: 'shop.example', authorization: `Bearer ${key}`};
    const request = {url: '/lookup/1', method: 'GET', headers};
    return fingerprintsOf(
      request as unknown as IncomingMessage,
      {kind: 'none'},
      {customer, hasKeys: true},
    ).exact;
  };
  const first = fingerprintOf('key-of-maps', 'maps');
  expect(fingerprintOf('other-key-of-maps', 'maps')).toBe(first);
  expect(fingerprintOf('key-of-maps', 'courts')).not.toBe(first);
});

// Guards against keys that are lost or kept when they move between customers.
test('a directory follows keys that move, customers that go and new quotas', () => {
  const directory = new CustomerDirectory();
  const nameOf = (key: string) => directory.findByKey(key)?.name;
  const customer = (name: string, ...keys: string[]): Customer => ({
    name,
    keys,
  });
  directory.replace([customer('a', 'k1', 'k2'), customer('b', 'k3')]);
  directory.replace([customer('a', 'k3'), customer('b', 'k1')]);
  expect(['k1', 'k2', 'k3'].map(nameOf)).toEqual(['b', undefined, 'a']);
  const quota = {ratePerSecond: 5, burst: 2};
  directory.replace([{...customer('a', 'k3'), quota}]);
  expect(directory.findByKey('k3')?.quota).toEqual(quota);
  expect(nameOf('k1')).toBeUndefined();
  directory.replace([]);
  expect(directory.isEmpty).toBe(true);
  expect(identify(directory, false, undefined)).toEqual({kind: 'anonymous'});
});
