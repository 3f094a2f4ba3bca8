import type {IncomingMessage} from 'node:http';
import {request} from 'node:http';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {OPERATOR_TOPIC, UPSTREAM_TOPIC} from '../src/platform/index.js';
import {
  ReportingUpstream,
  StoreServer,
  configurationRecord,
  upstreamRecord,
} from '../src/standins/index.js';
import {sleep} from '../src/time/index.js';
import {until} from './support/gateway.js';
import {SpawnedHost} from './support/spawned_host.js';

const LIMITS = {memoryMb: 350, maxDescriptors: 4_096};
const RETRY_MS = 20;
/** Time in which a host looks for others in the store. */
const SEARCH_MS = 3_000;
const DEPTH = 100_000;
const VALID_UPSTREAM = upstreamRecord(
  '127.0.0.1:9',
  'listings',
  'east',
  'ready',
);

const NESTED = '['.repeat(DEPTH) + ']'.repeat(DEPTH);
const NESTED_OBJECTS = '{"a":'.repeat(DEPTH) + '1' + '}'.repeat(DEPTH);
const NUMBERS = ['1e999', '-1e999', '9007199254740993', '1'.repeat(400)];
const PORTS = ['0', '-1', '65536', '70000', '99999999999999999999', '1e3', ''];
const ADDRESSES = [
  ...PORTS.map(port => `127.0.0.1:${port}`),
  '999.0.0.1:80',
  ':80',
  'a b:80',
  '\0:80',
  '[::1]:80',
  `${'x'.repeat(60_000)}:80`,
];

/** Values of entries, whatever their topic. */
const ANY_VALUES: readonly string[] = [
  '',
  'null',
  '"text"',
  '\0\0',
  '\u{fffd}',
  NESTED,
  NESTED_OBJECTS,
  '{"__proto__":{"hosts":7},"constructor":1}',
  ...NUMBERS,
];

/** By topic; keys and values of entries that no program of ours has written. */
const ENTRIES: Readonly<
  Record<string, readonly (readonly [string, string])[]>
> = {
  [UPSTREAM_TOPIC]: [
    ...ANY_VALUES.map((value, at) => [`odd-${at}`, value] as const),
    ...ADDRESSES.map(
      (address, at) =>
        [
          `address-${at}`,
          VALID_UPSTREAM.replace(
            '127.0.0.1:9',
            JSON.stringify(address).slice(1, -1),
          ),
        ] as const,
    ),
    ...NUMBERS.map(
      (number, at) =>
        [
          `slots-${at}`,
          VALID_UPSTREAM.replace(/"slots":\d+/, `"slots":${number}`),
        ] as const,
    ),
    ['deep-info', VALID_UPSTREAM.replace('{', `{"more":${NESTED},`)],
  ],
  [OPERATOR_TOPIC]: [
    ...ANY_VALUES.map((value, at) => [`odd-${at}`, value] as const),
    ...ANY_VALUES.map((value, at) => [`evacuate/z${at}`, value] as const),
  ],
  'keyed.hosts': [
    ...ANY_VALUES.map((value, at) => [`odd/${at}`, value] as const),
    ...ADDRESSES.map(
      (address, at) =>
        [`east/${at}`, JSON.stringify({address, dataCentre: 'east'})] as const,
    ),
  ],
  'keyed.fleet': [
    ...ANY_VALUES.map((value, at) => [`odd-${at}`, value] as const),
    ...NUMBERS.map((number, at) => [`n-${at}`, `{"hosts":${number}}`] as const),
    ['size', '{"hosts":9007199254740991}'],
  ],
  'keyed.crashes': [
    ...ANY_VALUES.map((value, at) => [`odd-${at}`, value] as const),
    ...NUMBERS.map(
      (number, at) =>
        [
          `n-${at}`,
          `{"at":${number},"row":["f",[["i",${number}]],null]}`,
        ] as const,
    ),
    ['deep', `{"at":1,"row":["f",${NESTED},null]}`],
  ],
};
const TOPICS = Object.keys(ENTRIES);

let store: StoreServer;
let upstreams: ReportingUpstream[];
let host: SpawnedHost | undefined;

beforeEach(async () => {
  store = new StoreServer();
  upstreams = [];
  const routes = [{path_prefix: '/lookup/', kind: 'idempotent' as const}];
  store.put(
    OPERATOR_TOPIC,
    'config',
    configurationRecord(1, routes, ['listings']),
  );
  await addUpstream('i-1');
});

afterEach(async () => {
  await host?.end();
  host = undefined;
  await Promise.all(upstreams.map(one => one.close()));
  await store.close();
});

async function addUpstream(id: string): Promise<ReportingUpstream> {
  const upstream = new ReportingUpstream(id);
  upstreams.push(upstream);
  const address = await upstream.listen();
  store.put(
    UPSTREAM_TOPIC,
    id,
    upstreamRecord(address, 'listings', 'east', 'ready'),
  );
  return upstream;
}

async function startHost(): Promise<SpawnedHost> {
  const {port} = await store.addEndpoint();
  host = await SpawnedHost.start(port, LIMITS);
  return host;
}

function writeEntries(topic: string): void {
  (ENTRIES[topic] ?? []).forEach(([key, value]) =>
    store.put(topic, key, value),
  );
}

function call({ports}: SpawnedHost): Promise<number | undefined> {
  return new Promise(resolve => {
    const outgoing = request({
      host: '127.0.0.1',
      port: ports.callers,
      path: '/lookup/1',
      headers: {
        host: 'shop.example',
        'cyclamenlever-request-id': `lookup-${performance.now()}`,
        'cyclamenlever-deadline-ms': '2000',
      },
      agent: false,
    });
    outgoing.on('error', () => resolve(undefined));
    outgoing.on('response', (response: IncomingMessage) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode));
    });
    outgoing.end();
  });
}

/** Waits until a request has reached the upstream; fails if the host ends. */
async function reaches(
  running: SpawnedHost,
  upstream: ReportingUpstream,
): Promise<void> {
  await until(async () => {
    expect(running.isAlive).toBe(true);
    await call(running);
    await sleep(RETRY_MS);
    return upstream.runs.length > 0;
  });
}

// Guards against hosts that end again and again, as their list has an entry that they can't read.
test.each(TOPICS)(
  'a host starts beside odd entries and follows changes: %s',
  async topic => {
    writeEntries(topic);
    const running = await startHost();
    await reaches(running, upstreams[0] as ReportingUpstream);
    await sleep(SEARCH_MS);
    await reaches(running, await addUpstream('i-2'));
    expect(running.isAlive).toBe(true);
  },
);

// Guards against hosts that end, or stop following the list, when such an entry is written.
test.each(TOPICS)(
  'a host outlasts odd entries and follows changes: %s',
  async topic => {
    const running = await startHost();
    await reaches(running, upstreams[0] as ReportingUpstream);
    writeEntries(topic);
    await reaches(running, await addUpstream('i-2'));
    store.put(UPSTREAM_TOPIC, 'i-1', undefined);
    await sleep(SEARCH_MS);
    const before = upstreams[0]?.runs.length;
    await call(running);
    await call(running);
    expect(upstreams[0]?.runs.length).toBe(before);
    expect(running.isAlive).toBe(true);
  },
);
