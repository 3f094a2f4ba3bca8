import type {IncomingMessage} from 'node:http';
import {request} from 'node:http';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {OPERATOR_TOPIC, UPSTREAM_TOPIC} from '../src/platform/index.js';
import {
  StoreServer,
  configurationRecord,
  upstreamRecord,
} from '../src/standins/index.js';
import {sleep} from '../src/time/index.js';
import type {Conduct} from './support/crowd.js';
import {Crowd, SCRIPTS} from './support/crowd.js';
import {ENDLESS_PATH, PlainUpstream} from './support/plain_upstream.js';
import {SpawnedHost} from './support/spawned_host.js';

/** The least memory of a machine in the site files. */
const MEMORY_MB = 202;
const BYTES_PER_MB = 1024 * 1024;
const MAX_DESCRIPTORS = 2_069;
const RESPONSE_BYTES = 100_000;
const UPLOAD = Buffer.alloc(900_000, 'x');
const TIMEOUT_MS = 120_000;
const RETRY_MS = 20;

/** Clients that each make the process exceed its memory. */
const CLIENTS: Readonly<Record<Conduct, number>> = {
  'send chunks of one byte without an end': 40,
  'send large chunks without an end': 1_600,
  'send bodies whole but for one byte': 1_600,
  'send bodies in small pieces whole but for one byte': 1_600,
  'send requests ahead and read no response': 40,
  'send requests ahead with unknown keys': 40,
  'send short requests ahead': 40,
  'send heads without an end': 2_200,
  'send trailers without an end': 1_600,
  'send nothing': 2_200,
};
/** Clients of each kind, where all kinds come together. */
const CLIENTS_OF_EACH = 40;
const CONDUCTS = Object.keys(SCRIPTS) as Conduct[];

let store: StoreServer;
let upstreams: readonly PlainUpstream[];
let host: SpawnedHost;
let crowd: Crowd;

beforeEach(async () => {
  store = new StoreServer();
  const {port} = await store.addEndpoint();
  store.put(
    OPERATOR_TOPIC,
    'config',
    configurationRecord(
      1,
      [
        {path_prefix: '/lookup/', kind: 'idempotent', timeout: '20s'},
        {path_prefix: '/upload/', kind: 'idempotent', timeout: '20s'},
      ],
      ['listings'],
      {max_body_bytes: 4 * BYTES_PER_MB},
    ),
  );
  upstreams = ['i-1', 'i-2'].map(id => new PlainUpstream(id, RESPONSE_BYTES));
  for (const upstream of upstreams) {
    const address = await upstream.listen();
    const record = upstreamRecord(address, 'listings', 'east', 'ready');
    store.put(UPSTREAM_TOPIC, upstream.id, record);
  }
  host = await SpawnedHost.start(port, {
    memoryMb: MEMORY_MB,
    maxDescriptors: MAX_DESCRIPTORS,
  });
  crowd = new Crowd();
  await served();
});

afterEach(async () => {
  crowd.leave();
  await host.end();
  upstreams.forEach(upstream => upstream.close());
  await store.close();
});

/** Status of a request; undefined if its connection was closed. */
function call(
  body?: Buffer,
  path = body ? '/upload/1' : '/lookup/1',
): Promise<number | undefined> {
  return new Promise(resolve => {
    const outgoing = request({
      host: '127.0.0.1',
      port: host.ports.callers,
      method: body ? 'POST' : 'GET',
      path,
      headers: {
        host: 'shop.example',
        'cyclamenlever-request-id': `ordinary-${performance.now()}`,
        'cyclamenlever-deadline-ms': '5000',
      },
      agent: false,
    });
    outgoing.on('error', () => resolve(undefined));
    outgoing.on('response', (response: IncomingMessage) => {
      response.resume();
      response.on('error', () => resolve(undefined));
      response.on('end', () => resolve(response.statusCode));
    });
    outgoing.end(body);
  });
}

/** Resolves once an ordinary request has been served; clients come back after a refusal. */
async function served(body?: Buffer): Promise<void> {
  while (host.isAlive && (await call(body)) !== 200) {
    await sleep(RETRY_MS);
  }
}

function expectWithinLimits(): void {
  expect(host.isAlive).toBe(true);
  expect(host.peakMemoryBytes / BYTES_PER_MB).toBeLessThan(MEMORY_MB);
  expect(host.peakDescriptors).toBeLessThan(MAX_DESCRIPTORS);
}

/** Adds clients, and serves others while they stay and once they have left. */
async function outlast(
  conducts: readonly Conduct[],
  clients: number,
): Promise<void> {
  for (const conduct of conducts) {
    for (let client = 0; client < clients; client += 1) {
      crowd.add(host.ports.callers, conduct, client);
    }
  }
  await crowd.settled();
  await served();
  crowd.leave();
  await served();
  await served(UPLOAD);
  expectWithinLimits();
}

// Guards against clients that make a process exceed the memory of its machine by what it holds for them.
test.each(CONDUCTS)(
  'a host serves others within its memory while clients %s',
  {timeout: TIMEOUT_MS},
  conduct => outlast([conduct], CLIENTS[conduct]),
);

// Guards against the same for responses, of which each piece takes as much as many bytes.
test(
  'a host serves others within its memory while responses are chunks of one byte',
  {timeout: TIMEOUT_MS},
  async () => {
    await Promise.all(
      Array.from({length: 10}, () => call(undefined, ENDLESS_PATH)),
    );
    await served();
    await served(UPLOAD);
    expectWithinLimits();
  },
);

// Guards against limits that hold for each kind of client, but not for all together.
test(
  'a host serves others within its memory while clients do all of these',
  {timeout: TIMEOUT_MS},
  () => outlast(CONDUCTS, CLIENTS_OF_EACH),
);
