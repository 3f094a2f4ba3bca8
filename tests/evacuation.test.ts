import {afterEach, beforeEach, expect, test} from 'vitest';
import {EvacuationState} from '../src/decisions/evacuation/index.js';
import {positionOf} from '../src/decisions/registry/index.js';
import {OPERATOR_TOPIC} from '../src/platform/index.js';
import {upstreamRecord} from '../src/standins/index.js';
import {ManualClock} from '../src/time/index.js';
import type {RunningHost} from './support/gateway.js';
import {GatewaySystem, until} from './support/gateway.js';

const ERA = 3;

let clock: ManualClock;
let book: EvacuationState;
let system: GatewaySystem;

beforeEach(() => {
  clock = new ManualClock(50_000);
  book = new EvacuationState(clock);
  system = new GatewaySystem();
  system.configure(1);
});

afterEach(() => system.close());

function applyEvacuations(
  names: readonly string[],
  offset: number,
  era = ERA,
): boolean {
  const places = names.map(dataCentre => ({dataCentre}));
  return book.applyIfNewer({places, end: positionOf(era, offset)});
}

function evacuated(): readonly string[] {
  return [...book.dataCentres].sort();
}

/** Writes as the operator does. */
function writeEvacuation(dataCentre: string, value = '{}'): void {
  system.storeServer.put(OPERATOR_TOPIC, `evacuate/${dataCentre}`, value);
}

function removeEvacuation(dataCentre: string): void {
  system.storeServer.put(OPERATOR_TOPIC, `evacuate/${dataCentre}`, undefined);
}

async function addUpstream(id: string, dataCentre: string): Promise<void> {
  const upstream = await system.addUpstream(id);
  system.storeServer.put(
    'keyed.servers',
    id,
    upstreamRecord(upstream.address, 'listings', dataCentre, 'ready', {seq: 2}),
  );
}

/** Upstreams that run requests of a host, of so many in a row. */
async function usedBy(
  host: RunningHost,
  requests = 12,
): Promise<ReadonlySet<string>> {
  const before = system.upstreams.map(({runs}) => runs.length);
  for (let i = 0; i < requests; i += 1) {
    await system.call(host, {timeLeftMs: 300});
  }
  const used = system.upstreams.filter(
    ({runs}, index) => runs.length > (before[index] ?? 0),
  );
  return new Set(used.map(({id}) => id));
}

async function untilUses(
  host: RunningHost,
  ...wanted: readonly string[]
): Promise<void> {
  await until(async () => {
    const used = await usedBy(host);
    return used.size === wanted.length && wanted.every(id => used.has(id));
  });
}

test('what holds up to a later position takes the place of what was known', () => {
  expect(applyEvacuations(['a'], 5)).toBe(true);
  expect(applyEvacuations(['a', 'b'], 9)).toBe(true);
  expect(applyEvacuations([], 7)).toBe(false);
  expect(evacuated()).toEqual(['a', 'b']);
  expect(applyEvacuations([], 10)).toBe(true);
  expect(evacuated()).toEqual([]);
});

test('an evacuation that a copy of the store lacks holds for a while', () => {
  // The operator evacuates a data centre; the store comes back from a copy that is
  // older, and has the record again a moment later. In between work went there.
  applyEvacuations(['a'], 900);
  applyEvacuations([], 3, ERA + 1);
  expect(evacuated()).toEqual(['a']);
  applyEvacuations(['a'], 4, ERA + 1);
  clock.advance(60_000);
  expect(evacuated()).toEqual(['a']);
});

test('one that nobody writes again ends', () => {
  applyEvacuations(['a'], 900);
  applyEvacuations([], 3, ERA + 1);
  clock.advance(5_000);
  expect(evacuated()).toEqual([]);
});

test('two losses within a second keep it too', () => {
  applyEvacuations(['a'], 900);
  applyEvacuations([], 3, ERA + 1);
  clock.advance(500);
  applyEvacuations([], 2, ERA + 2);
  clock.advance(4_900);
  expect(evacuated()).toEqual(['a']);
});

test('a host that starts amid a loss is told what holds for a while', () => {
  applyEvacuations(['a', 'b'], 900);
  applyEvacuations(['b'], 3, ERA + 1);
  const other = new EvacuationState(clock);
  const told = book.evacuations;
  expect(told && other.applyIfNewer(told)).toBe(true);
  expect([...other.dataCentres].sort()).toEqual(['a', 'b']);
  clock.advance(5_000);
  expect([...other.dataCentres]).toEqual(['b']);
});

test('a host of the older era takes nothing back', () => {
  applyEvacuations(['a'], 3, ERA + 1);
  expect(applyEvacuations([], 900, ERA)).toBe(false);
  expect(evacuated()).toEqual(['a']);
});

test('nothing more is sent to a data centre that is evacuated', async () => {
  // An operator empties a data centre before work on its power. Requests that still
  // go there are lost when it is switched off.
  await addUpstream('i-east', 'east');
  await addUpstream('i-west', 'west');
  const reader = await system.startReadyHost('east');
  const follower = await system.startReadyHost('west');
  await untilUses(reader, 'i-east');
  writeEvacuation('east');
  await untilUses(reader, 'i-west');
  await untilUses(follower, 'i-west');
  removeEvacuation('east');
  await untilUses(reader, 'i-east');
});

test('a host that starts while the store is away knows of an evacuation', async () => {
  // Hosts are killed after a data centre was evacuated, and start again while the
  // store is down. What they know comes from other hosts, which must tell it.
  await addUpstream('i-east', 'east');
  await addUpstream('i-west', 'west');
  const first = await system.startReadyHost('east');
  writeEvacuation('east');
  await untilUses(first, 'i-west');
  system.storeServer.fault = 'refuse';
  const late = await system.startReadyHost('east');
  expect(await usedBy(late)).toEqual(new Set(['i-west']));
});

test('with all data centres evacuated callers are refused at once', async () => {
  await addUpstream('i-east', 'east');
  const host = await system.startReadyHost('east');
  writeEvacuation('east');
  await until(async () => (await system.call(host)).status === 503);
  const startedAt = performance.now();
  const reply = await system.call(host);
  expect(reply.status).toBe(503);
  expect(performance.now() - startedAt).toBeLessThan(500);
  expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
});

test('evacuations that nobody can read change nothing', async () => {
  await addUpstream('i-east', 'east');
  await addUpstream('i-west', 'west');
  const host = await system.startReadyHost('east');
  writeEvacuation('east');
  await untilUses(host, 'i-west');
  writeEvacuation('west', '{');
  writeEvacuation('east', 'null');
  writeEvacuation('nowhere');
  writeEvacuation('');
  system.configure(2, [
    {path_prefix: '/new/', kind: 'idempotent'},
    {path_prefix: '/lookup/', kind: 'idempotent'},
  ]);
  await until(
    async () => (await system.call(host, {path: '/new/1'})).status === 200,
  );
  expect(await usedBy(host)).toEqual(new Set(['i-west']));
});
