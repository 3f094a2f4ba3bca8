import {createServer} from 'node:http';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {
  StoreClient,
  decodeConfiguration,
  decodeUpstream,
  parseSettings,
  readColdMs,
  readLoad,
  readSettingsFile,
} from '../src/platform/index.js';
import {positionOf} from '../src/decisions/registry/index.js';
import {closeNow, listen} from '../src/servers/index.js';
import {StoreServer} from '../src/standins/index.js';

const SETTINGS = `self.node=edge-1
self.ip=10.1.0.35
self.zone=east
network.listen.front=10.1.0.35:8144
network.listen.ready=10.1.0.35:8140
network.internal_ports=7660,7675
network.zones.east=connacht
network.zones.west=connacht
platform.platform.address=10.200.1.7:8142
terms.bounds.grace=6s
terms.bounds.retry_ratio=0.2
some.new.field=ignored
`;

test('a settings file is read into typed settings', () => {
  const settings = parseSettings(SETTINGS)._unsafeUnwrap();
  expect(settings.callers).toEqual({ip: '10.1.0.35', port: 8144});
  expect(settings.peers.port).toBe(7660);
  expect(settings.graceMs).toBe(6_000);
});

test.each([
  ['', 2_000],
  ['terms.bounds.config_apply=3000ms', 3_000],
  ['terms.bounds.config_apply=2500ms\nterms.bounds.drain=2s', 2_000],
  ['terms.bounds.drain=3s\nterms.bounds.evacuate=1s', 1_000],
])('the change bound is the shortest bound of %j', (bounds, boundMs) => {
  const settings = parseSettings(`${SETTINGS}${bounds}\n`)._unsafeUnwrap();
  expect(settings.changeBoundMs).toBe(boundMs);
});

test.each([
  ['self.ip', /self\.ip=.*\n/, ''],
  ['network.listen.front', /8144/, 'port'],
  ['terms.bounds.grace', /6s/, 'six'],
  ['terms.bounds.retry_ratio', /=0\.2/, '=some'],
])('an error names the invalid %s', (field, pattern, replacement) => {
  const text = SETTINGS.replace(pattern, replacement);
  const error = parseSettings(text)._unsafeUnwrapErr();
  expect(error.field).toBe(field);
});

test('a missing settings file is an error with a remedy', () => {
  expect(readSettingsFile(undefined)._unsafeUnwrapErr().message).toContain(
    'CYCLAMENLEVER_SETTINGS',
  );
  expect(readSettingsFile('/nowhere')._unsafeUnwrapErr().message).toContain(
    'make it readable',
  );
});

const ROUTE = {
  resource_kind: 'routes',
  metadata: {name: 'r1'},
  spec: {
    hostname: 'Shop.example',
    path_prefix: '/a/',
    kind: 'non_idempotent',
    timeout: '1200ms',
    target_latency: '0.8s',
    priority: 1,
    max_attempts: 2,
    traffic_split: [
      {service: 's1', weight: 90},
      {service: 's2', weight: 10},
    ],
    unheard_of: true,
  },
};

test('a configuration is decoded into routes, services and limits', () => {
  const {table} = decodeConfiguration(
    JSON.stringify({
      version: 'r12',
      resources: [
        ROUTE,
        {
          resource_kind: 'services',
          metadata: {name: 's1'},
          spec: {health_path: '/health', max_conns: 220},
        },
        {
          resource_kind: 'limits',
          metadata: {},
          spec: {max_body_bytes: 10, idle_timeout: '15s'},
        },
        {resource_kind: 'something-new', spec: {}},
      ],
    }),
  )._unsafeUnwrap();
  expect(table.version).toBe(12);
  expect(table.routes[0]).toMatchObject({
    host: 'shop.example',
    repeatable: false,
    timeoutMs: 1_200,
    targetMs: 800,
    rank: 1,
    attempts: 2,
  });
  expect(table.routes[0]?.destinations).toHaveLength(2);
  expect(table.limits.bodyBytes).toBe(10);
  expect(table.limits.idleMs).toBe(15_000);
});

test.each([
  ['version', {version: '12', resources: []}],
  ['resources', {version: 'r1'}],
  [
    'r1.hostname',
    {
      version: 'r1',
      resources: [{...ROUTE, spec: {...ROUTE.spec, hostname: 7}}],
    },
  ],
])('an error names the invalid %s of a configuration', (field, record) => {
  const error = decodeConfiguration(JSON.stringify(record))._unsafeUnwrapErr();
  expect(error.field).toBe(field);
});

// Guards against requests that a shorter prefix sends to another service.
test.each([
  ['timeout', 'long'],
  ['timeout', undefined],
  ['kind', 7],
  ['target_latency', '-1s'],
  ['priority', 'high'],
  ['max_attempts', '2'],
  ['traffic_split', {}],
  ['allowed_regions', 'connacht'],
])(
  'a route with %s = %j has no destination, and is reported',
  (field, value) => {
    const spec = {...ROUTE.spec, [field]: value};
    const record = {version: 'r1', resources: [{...ROUTE, spec}, ROUTE]};
    const {table, faults} = decodeConfiguration(
      JSON.stringify(record),
    )._unsafeUnwrap();
    expect(faults.map(error => error.field)).toEqual([`r1.${field}`]);
    expect(table.routes[0]).toMatchObject({
      host: 'shop.example',
      prefix: '/a/',
      destinations: [],
    });
    expect(table.routes[1]?.destinations).toHaveLength(2);
  },
);

test('an invalid service is left out, and invalid limits are the default ones', () => {
  const service = {resource_kind: 'services', metadata: {name: 's'}};
  const valid = {...service, spec: {health_path: '/health'}};
  const limits = {resource_kind: 'limits', spec: {max_body_bytes: '10'}};
  const resources = [{...service, spec: {}}, valid, limits];
  const {table, faults} = decodeConfiguration(
    JSON.stringify({version: 'r1', resources}),
  )._unsafeUnwrap();
  expect(faults.map(error => error.field)).toEqual([
    's.health_path',
    'max_body_bytes',
  ]);
  expect(table.services).toHaveLength(1);
  expect(table.limits.bodyBytes).toBeGreaterThan(10);
});

test('a record that is not valid JSON is an error and does not throw', () => {
  expect(decodeConfiguration('{').isErr()).toBe(true);
  expect(decodeUpstream('i-1', 'null').isErr()).toBe(true);
});

test('an upstream record is decoded', () => {
  const upstream = decodeUpstream(
    'i-1',
    JSON.stringify({
      address: '10.1.0.9:80',
      info: {service: 's1', version: 'v1', zone: 'east', slots: 6},
      status: {state: 'draining', seq: 4, warmup_left: '1.5s'},
    }),
  )._unsafeUnwrap();
  expect(upstream).toEqual({
    name: 'i-1',
    bornAt: undefined,
    sequence: 4,
    address: '10.1.0.9:80',
    service: 's1',
    dataCentre: 'east',
    slots: 6,
    leaving: true,
    coldMs: 1_500,
  });
});

test('a load header is parsed into running, waiting, slots and slowness', () => {
  const name = 'cyclamenlever-server-load';
  expect(readLoad({[name]: '3,1,6,400'})).toEqual({
    running: 3,
    waiting: 1,
    slots: 6,
    slowness: 4,
  });
  expect(readLoad({[name]: '3,0,8'})?.slowness).toBe(1);
  expect(readLoad({[name]: '3,x'})).toBeUndefined();
  expect(readLoad({})).toBeUndefined();
});

let server: StoreServer;
let store: StoreClient;

beforeEach(async () => {
  server = new StoreServer();
  store = new StoreClient({ip: '127.0.0.1', port: await server.listen()});
});

afterEach(async () => {
  store.close();
  await server.close();
});

test('records are read back at their offsets', async () => {
  expect((await store.put('keyed.a', 'one', 'first'))._unsafeUnwrap()).toBe(0);
  await store.put('keyed.a', 'two', 'second');
  const page = (await store.read('keyed.a', 1, 0))._unsafeUnwrap();
  expect(page.records).toEqual([{key: 'two', position: 1, value: 'second'}]);
  expect(page.next).toBe(2);
});

test('a long-polling read returns as soon as there is a record', async () => {
  const read = store.read('keyed.a', 0, 30_000);
  server.put('keyed.a', 'one', undefined);
  const page = (await read)._unsafeUnwrap();
  expect(page.records).toEqual([{key: 'one', position: 0, value: undefined}]);
});

test('the newest record of each key is found after a trim', async () => {
  server.put('keyed.a', 'one', 'old');
  server.put('keyed.a', 'one', 'new');
  server.trim('keyed.a');
  const read = await store.read('keyed.a', 0, 0);
  expect(read._unsafeUnwrapErr().kind).toBe('trimmed');
  const snapshot = (await store.newest('keyed.a'))._unsafeUnwrap();
  expect(snapshot.records).toEqual([{key: 'one', position: 1, value: 'new'}]);
  expect(snapshot.end).toBe(2);
});

test('a refused write is not applied; one without a response has an unknown outcome', async () => {
  server.fault = 'refuse';
  const refused = await store.put('keyed.a', 'one', 'x');
  expect(refused._unsafeUnwrapErr().kind).toBe('refused');
  server.fault = 'lose-answers';
  const lost = await store.put('keyed.a', 'one', 'x');
  expect(lost._unsafeUnwrapErr().kind).toBe('unknown');
  server.fault = 'none';
  const page = (await store.read('keyed.a', 0, 0))._unsafeUnwrap();
  expect(page.records).toHaveLength(1);
});

test('a topic of many keys is read page by page', async () => {
  server.topics.pageSize = 3;
  for (let i = 0; i < 10; i += 1) {
    server.put('keyed.a', `key-${i}`, `${i}`);
  }
  const snapshot = (await store.newest('keyed.a'))._unsafeUnwrap();
  expect(snapshot.records.map(({value}) => value).join('')).toBe('0123456789');
  expect(snapshot.end).toBe(10);
});

test('a call beyond the rate limit is refused and not applied', async () => {
  server.writes.perSecond = 1;
  await store.put('keyed.a', 'one', 'x');
  const refused = await store.put('keyed.a', 'two', 'x');
  expect(refused._unsafeUnwrapErr().kind).toBe('refused');
  expect(server.topics.end('keyed.a')).toBe(1);
});

test('a write that is applied after its timeout has an unknown outcome', async () => {
  // The store loses the response and applies the write later. A caller that treated
  // the timeout as a refusal would assume that nothing was written.
  server.fault = 'late';
  const late = await store.put('keyed.a', 'one', 'x');
  expect(late._unsafeUnwrapErr().kind).toBe('unknown');
  server.fault = 'none';
  const page = (await store.read('keyed.a', 0, 5_000))._unsafeUnwrap();
  expect(page.records).toHaveLength(1);
});

test('offsets from before a restore of the store are rejected', async () => {
  // The store is restored from an older copy and assigns the same offsets again. A host
  // that read on from its last offset would find other records there.
  const copy = server.copy();
  server.put('keyed.a', 'one', 'lost');
  server.put('keyed.a', 'two', 'lost');
  server.restoreFrom(copy);
  server.put('keyed.a', 'three', 'new');
  for (const offset of [0, 1, 2]) {
    const read = await store.read('keyed.a', positionOf(0, offset), 0);
    expect(read._unsafeUnwrapErr().kind).toBe('trimmed');
  }
  const snapshot = (await store.newest('keyed.a'))._unsafeUnwrap();
  expect(snapshot.end).toBe(positionOf(1, 1));
  const [record] = snapshot.records;
  expect(record?.position).toBe(positionOf(1, 0));
  expect((await store.read('keyed.a', snapshot.end, 0)).isOk()).toBe(true);
});

test('a read that waits while the store is restored returns no records of the new era', async () => {
  const copy = server.copy();
  server.put('keyed.a', 'one', 'lost');
  const read = store.read('keyed.a', positionOf(0, 1), 5_000);
  await new Promise(resolve => setTimeout(resolve, 50));
  server.restoreFrom(copy);
  expect((await read)._unsafeUnwrapErr().kind).toBe('trimmed');
});

test('a response of an earlier era is rejected', async () => {
  server.put('keyed.a', 'one', 'old');
  const read = await store.read('keyed.a', positionOf(3, 0), 0);
  expect(read._unsafeUnwrapErr().kind).toBe('refused');
});

test('the remaining cold time is parsed; 0 if missing or malformed', () => {
  const parse = (text: string): number =>
    readColdMs({'cyclamenlever-warmup-ms': text});
  expect(parse('2800')).toBe(2_800);
  expect(['-5', 'soon', '', 'Infinity'].map(parse)).toEqual([0, 0, 0, 0]);
  expect(readColdMs({})).toBe(0);
});

test('regions of a route and the cold limit of a service are decoded', () => {
  const bound = {...ROUTE.spec, allowed_regions: ['connacht', 'leinster']};
  const text = JSON.stringify({
    version: 'r3',
    resources: [
      {...ROUTE, spec: bound},
      {
        resource_kind: 'services',
        metadata: {name: 's'},
        spec: {health_path: '/health', warmup_per_s: 3.9},
      },
    ],
  });
  const {table, faults} = decodeConfiguration(text)._unsafeUnwrap();
  expect(faults).toEqual([]);
  expect(table.routes[0]?.regions).toEqual(['connacht', 'leinster']);
  expect(table.services[0]?.coldPerSecond).toBe(3.9);
});

test.each(['connacht', [7], [''], {}])(
  'invalid regions are rejected: %j',
  regions => {
    const spec = {...ROUTE.spec, allowed_regions: regions};
    const text = JSON.stringify({version: 'r3', resources: [{...ROUTE, spec}]});
    const {table, faults} = decodeConfiguration(text)._unsafeUnwrap();
    expect(faults).toHaveLength(1);
    expect(table.routes.map(({destinations}) => destinations)).toEqual([[]]);
  },
);

// Guards against a host that ends, or takes half of the records for all, on a page of
// another form.
test.each([
  ['no JSON', 'oops'],
  ['no object', '7'],
  ['no items', '{}'],
  ['items that are no list', '{"items":{},"end_offset":3,"has_more":false}'],
  ['an item without an offset', '{"items":[{"key":"a"}],"end_offset":3}'],
  ['no end', '{"items":[],"has_more":false}'],
  ['more to come and no items', '{"items":[],"has_more":true,"end_offset":3}'],
])('a snapshot with %s is a failed read', async (_, body) => {
  const server = createServer((request, response) => response.end(body));
  const port = await listen(server, '127.0.0.1', 0);
  const client = new StoreClient({ip: '127.0.0.1', port});
  const snapshot = await client.newest('keyed.op');
  client.close();
  await closeNow(server);
  expect(snapshot.isErr()).toBe(true);
});

// The store accepts only whole milliseconds: with a fraction it responds at once, and
// the host polls without a pause.
test('the wait of a read is rounded up to whole milliseconds', async () => {
  const {end} = (await store.newest('keyed.op'))._unsafeUnwrap();
  const page = await store.read('keyed.op', end, 20.5);
  expect(page.isOk()).toBe(true);
  expect(server.longestWaits.get('keyed.op')).toBe(21);
});
