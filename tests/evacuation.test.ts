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
let evacuations: EvacuationState;
let system: GatewaySystem;

beforeEach(() => {
  clock = new ManualClock(50_000);
  evacuations = new EvacuationState(clock);
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
  return evacuations.applyIfNewer({places, end: positionOf(era, offset)});
}

function evacuated(): readonly string[] {
  return [...evacuations.dataCentres].sort();
}

/** Writes an operator's record to the store. */
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

/** Ids of the upstreams that run some of a host's next requests. */
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

test('evacuations as of a later position replace the known ones', () => {
  expect(applyEvacuations(['a'], 5)).toBe(true);
  expect(applyEvacuations(['a', 'b'], 9)).toBe(true);
  expect(applyEvacuations([], 7)).toBe(false);
  expect(evacuated()).toEqual(['a', 'b']);
  expect(applyEvacuations([], 10)).toBe(true);
  expect(evacuated()).toEqual([]);
});

test('an evacuation that a restored store lacks stays in force for a while', () => {
  // The operator evacuates a data centre; the store is restored from an older copy, and
  // the record is written again a moment later. No requests may go there in between.
  applyEvacuations(['a'], 900);
  applyEvacuations([], 3, ERA + 1);
  expect(evacuated()).toEqual(['a']);
  applyEvacuations(['a'], 4, ERA + 1);
  clock.advance(60_000);
  expect(evacuated()).toEqual(['a']);
});

test('an evacuation that is not written again ends', () => {
  applyEvacuations(['a'], 900);
  applyEvacuations([], 3, ERA + 1);
  clock.advance(5_000);
  expect(evacuated()).toEqual([]);
});

test('an evacuation stays in force over two restores within a second', () => {
  applyEvacuations(['a'], 900);
  applyEvacuations([], 3, ERA + 1);
  clock.advance(500);
  applyEvacuations([], 2, ERA + 2);
  clock.advance(4_900);
  expect(evacuated()).toEqual(['a']);
});

test('a host that starts after a restore gets the evacuations kept for a while', () => {
  applyEvacuations(['a', 'b'], 900);
  applyEvacuations(['b'], 3, ERA + 1);
  const other = new EvacuationState(clock);
  const update = evacuations.evacuations;
  expect(update && other.applyIfNewer(update)).toBe(true);
  expect([...other.dataCentres].sort()).toEqual(['a', 'b']);
  clock.advance(5_000);
  expect([...other.dataCentres]).toEqual(['b']);
});

test('an update of an older era does not end an evacuation', () => {
  applyEvacuations(['a'], 3, ERA + 1);
  expect(applyEvacuations([], 900, ERA)).toBe(false);
  expect(evacuated()).toEqual(['a']);
});

test('an evacuated data centre gets no new requests', async () => {
  // An operator drains a data centre before work on its power supply. Requests that are
  // still sent there are lost when it is switched off.
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

test('a host that starts while the store is unavailable learns of an evacuation', async () => {
  // Hosts are killed after a data centre was evacuated and restart while the store is
  // down. Other hosts, their only source, must send them the evacuation.
  await addUpstream('i-east', 'east');
  await addUpstream('i-west', 'west');
  const first = await system.startReadyHost('east');
  writeEvacuation('east');
  await untilUses(first, 'i-west');
  system.storeServer.fault = 'refuse';
  const late = await system.startReadyHost('east');
  expect(await usedBy(late)).toEqual(new Set(['i-west']));
});

test('callers are refused at once if all data centres are evacuated', async () => {
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

test('malformed evacuation records change nothing', async () => {
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
