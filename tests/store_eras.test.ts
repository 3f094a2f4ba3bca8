import {afterEach, beforeEach, expect, test} from 'vitest';
import type {
  RegistryEntry,
  UpstreamReport,
} from '../src/decisions/registry/index.js';
import {
  MAX_ERA,
  InstanceResolver,
  UpstreamRegistry,
  eraOf,
  offsetOf,
  positionOf,
} from '../src/decisions/registry/index.js';
import {UPSTREAM_TOPIC} from '../src/platform/index.js';
import {upstreamRecord} from '../src/standins/index.js';
import {ManualClock} from '../src/time/index.js';
import {GatewaySystem, until} from './support/gateway.js';
import {reportOf} from './support/upstreams.js';

const GONE_BY_MS = 2_600;
/** One of three upstreams is missed by all of them once in 10^10 times. */
const CALLS_TO_MEET_ALL = 60;

let clock: ManualClock;
let registry: UpstreamRegistry;
let book: InstanceResolver;
let system: GatewaySystem;

beforeEach(() => {
  clock = new ManualClock(100_000);
  registry = new UpstreamRegistry(clock);
  book = new InstanceResolver(clock, registry);
  registry.load({entries: [], end: positionOf(1, 0)});
  system = new GatewaySystem();
});

afterEach(() => system.close());

function conclude(
  name: string,
  position: number,
  differing: Partial<UpstreamReport> = {},
): RegistryEntry {
  const report = reportOf(name, differing);
  return book.resolve({kind: 'report', name, position, report});
}

function hear(
  name: string,
  position: number,
  differing: Partial<UpstreamReport> = {},
): void {
  registry.apply([conclude(name, position, differing)], position + 1);
}

/** The store comes back from a copy that holds these records. */
function comeBack(
  era: number,
  copy: Readonly<Record<string, Partial<UpstreamReport>>>,
): void {
  const names = Object.entries(copy);
  const entries = names.map(([name, differing], offset) =>
    conclude(name, positionOf(era, offset), differing),
  );
  registry.load({entries, end: positionOf(era, names.length)});
}

function ids(): readonly string[] {
  return registry
    .inService('s')
    .map(({id}) => id)
    .sort();
}

test('a position keeps era and offset, up to the last era', () => {
  for (const era of [0, 1, 7, MAX_ERA]) {
    for (const offset of [0, 1, 4_000_000_000]) {
      const position = positionOf(era, offset);
      expect([eraOf(position), offsetOf(position)]).toEqual([era, offset]);
    }
  }
});

test('what is written after a loss is news, whatever its offset', () => {
  // The store comes back from an older copy and gives offsets out again. An upstream
  // then says that it leaves, under a lower offset than what is known: taken for
  // old, the upstream goes on getting work.
  hear('a', positionOf(1, 900), {sequence: 4});
  comeBack(2, {a: {sequence: 4}});
  hear('a', positionOf(2, 1), {sequence: 5, leaving: true});
  expect(ids()).toEqual([]);
});

test('an upstream that leaves stays out though the copy has it ready', () => {
  hear('a', positionOf(1, 900), {sequence: 4});
  hear('a', positionOf(1, 901), {sequence: 5, leaving: true});
  comeBack(2, {a: {sequence: 4}});
  expect(ids()).toEqual([]);
  hear('a', positionOf(2, 1), {sequence: 5, leaving: true});
  expect(ids()).toEqual([]);
});

test('an upstream that is gone stays gone though the copy has it', () => {
  hear('a', positionOf(1, 900), {sequence: 4});
  const removal = {kind: 'removed', name: 'a'} as const;
  const position = positionOf(1, 901);
  registry.apply([book.resolve({...removal, position})], position + 1);
  comeBack(2, {a: {sequence: 4}});
  expect(ids()).toEqual([]);
});

test('the same holds for a host that begins to read after the loss', () => {
  hear('a', positionOf(1, 900), {sequence: 4});
  const removal = {kind: 'removed', name: 'a'} as const;
  const position = positionOf(1, 901);
  registry.apply([book.resolve({...removal, position})], position + 1);
  book.clear();
  comeBack(2, {a: {sequence: 4}});
  expect(ids()).toEqual([]);
});

test('an upstream that the copy lacks stays until its time to return is over', () => {
  // Upstreams that registered after the copy was made write again within two
  // seconds. Dropped at once, a service that has just been released is empty.
  hear('a', positionOf(1, 900), {sequence: 4});
  hear('b', positionOf(1, 901), {sequence: 1});
  comeBack(2, {a: {sequence: 4}});
  expect(ids()).toEqual(['a', 'b']);
  hear('b', positionOf(2, 1), {sequence: 1});
  clock.advance(GONE_BY_MS);
  registry.tick();
  expect(ids()).toEqual(['a', 'b']);
});

test('one that leaves and that the copy lacks stays out, for any reader', () => {
  // It registered and left after the copy was made, and writes both again in turn.
  // Taken for news, the first brings it back into service just before it ends.
  hear('a', positionOf(1, 900), {sequence: 1});
  hear('a', positionOf(1, 901), {sequence: 2, leaving: true});
  comeBack(2, {});
  book.clear();
  hear('a', positionOf(2, 0), {sequence: 1});
  expect(ids()).toEqual([]);
  hear('a', positionOf(2, 1), {sequence: 2, leaving: true});
  expect(ids()).toEqual([]);
});

test('one that is still missing then is gone', () => {
  hear('a', positionOf(1, 900), {sequence: 4});
  hear('b', positionOf(1, 901), {sequence: 1});
  comeBack(2, {a: {sequence: 4}});
  clock.advance(GONE_BY_MS);
  registry.tick();
  expect(ids()).toEqual(['a']);
});

test('one that writes the same record again late is back, for any reader', () => {
  hear('a', positionOf(1, 900), {sequence: 4});
  comeBack(2, {});
  clock.advance(GONE_BY_MS);
  registry.tick();
  expect(ids()).toEqual([]);
  book.clear();
  hear('a', positionOf(2, 1), {sequence: 4});
  expect(ids()).toEqual(['a']);
});

test('an upstream that starts again amid a loss is taken for a new life', () => {
  hear('a', positionOf(1, 900), {sequence: 40});
  comeBack(2, {a: {sequence: 30}});
  const [before] = ids();
  hear('a', positionOf(2, 1), {sequence: 1});
  expect(ids()).toHaveLength(1);
  expect(ids()).not.toEqual([before]);
});

test('a host that follows the older era brings nothing back', () => {
  // A host was cut off through the loss. What it tells has higher offsets, and an
  // upstream among it that no copy has and that ended meanwhile.
  hear('a', positionOf(1, 900), {sequence: 4});
  const stale = [...registry.all];
  const {cursor} = registry;
  comeBack(2, {b: {sequence: 1}});
  hear('a', positionOf(2, 1), {sequence: 5, leaving: true});
  registry.apply(stale, cursor);
  expect(ids()).toEqual(['b']);
  const fresh = new UpstreamRegistry(clock);
  fresh.load({entries: [], end: positionOf(2, 2)});
  fresh.apply(stale, cursor);
  expect(fresh.inService('s')).toEqual([]);
  expect(eraOf(registry.cursor)).toBe(2);
});

test('after a loss an upstream that leaves gets nothing more, at any host', async () => {
  // The store loses seven seconds of records; then an upstream says that it leaves,
  // under an offset that hosts have passed long ago. It ends while they send on.
  const {storeServer} = system;
  system.configure(1);
  await system.addUpstream('i-1');
  const leaving = await system.addUpstream('i-2');
  const copy = storeServer.copy();
  const reader = await system.startReadyHost('east');
  const follower = await system.startReadyHost('east');
  for (let seq = 2; seq < 40; seq += 1) {
    const record = upstreamRecord(
      leaving.address,
      'listings',
      'east',
      'ready',
      {
        seq,
      },
    );
    storeServer.put(UPSTREAM_TOPIC, 'i-2', record);
  }
  // Once hosts use it they have read what stands before its record.
  const last = await system.addUpstream('i-3');
  for (const host of [reader, follower]) {
    const before = last.runs.length;
    await until(async () => {
      await system.call(host);
      return last.runs.length > before;
    });
  }
  storeServer.comeBackFrom(copy);
  storeServer.put(
    UPSTREAM_TOPIC,
    'i-2',
    upstreamRecord(leaving.address, 'listings', 'east', 'draining', {seq: 41}),
  );
  for (const host of [reader, follower]) {
    await until(async () => {
      const before = leaving.runs.length;
      for (let i = 0; i < CALLS_TO_MEET_ALL; i += 1) {
        await system.call(host);
      }
      return leaving.runs.length === before;
    });
  }
});

test('a route that the copy lacks stays in force, and those after it come', async () => {
  const {storeServer} = system;
  system.configure(1);
  await system.addUpstream('i-1');
  const copy = storeServer.copy();
  const reader = await system.startReadyHost('east');
  const follower = await system.startReadyHost('east');
  const serves = async (path: string): Promise<void> => {
    for (const host of [reader, follower]) {
      await until(async () => (await system.call(host, {path})).status === 200);
    }
  };
  system.configure(2, [{path_prefix: '/two/', kind: 'idempotent'}]);
  await serves('/two/1');
  storeServer.comeBackFrom(copy);
  for (let i = 0; i < 20; i += 1) {
    expect((await system.call(reader, {path: '/two/1'})).status).toBe(200);
  }
  system.configure(3, [{path_prefix: '/three/', kind: 'idempotent'}]);
  await serves('/three/1');
});

test('hosts introduce others again after a loss', async () => {
  // What hosts wrote of themselves is lost. One that starts then, and can ask nobody
  // else, finds no host in the store and is alone.
  const {storeServer} = system;
  system.configure(1);
  await system.addUpstream('i-1');
  const copy = storeServer.copy();
  const written = (): number => storeServer.calls.get('/api/log-append') ?? 0;
  await system.startReadyHost('east');
  await until(() => written() > 0);
  const before = written();
  storeServer.comeBackFrom(copy);
  await until(() => written() > before);
  expect(storeServer.topics.newest('keyed.hosts', '').items).toHaveLength(1);
});
