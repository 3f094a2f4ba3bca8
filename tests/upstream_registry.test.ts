import {beforeEach, expect, test} from 'vitest';
import type {RegistryEntry} from '../src/decisions/registry/index.js';
import {UpstreamRegistry} from '../src/decisions/registry/index.js';
import {ManualClock} from '../src/time/index.js';
import {registered} from './support/upstreams.js';

let clock: ManualClock;
let registry: UpstreamRegistry;

beforeEach(() => {
  clock = new ManualClock(10_000);
  registry = new UpstreamRegistry(clock);
});

function entry(id: string, position: number, leaving = false): RegistryEntry {
  const upstream = registered(id, {leaving});
  return {kind: 'present', name: id, position, upstream};
}

function removed(name: string, position: number): RegistryEntry {
  return {kind: 'removed', name, position};
}

function ids(): readonly string[] {
  return registry.inService('s').map(({id}) => id);
}

test('an upstream is in service from its entry until it leaves', () => {
  registry.apply([entry('a', 0), entry('b', 1)], 2);
  expect(ids()).toEqual(['a', 'b']);
  registry.apply([entry('a', 2, true)], 3);
  expect(ids()).toEqual(['b']);
  registry.apply([removed('b', 3)], 4);
  expect(ids()).toEqual([]);
});

test('an older entry changes nothing', () => {
  // A host hears of an upstream's leaving, then of its earlier state from a
  // peer that lags. It must not send to it again.
  registry.apply([entry('a', 5, true)], 6);
  registry.apply([entry('a', 3)], 4);
  expect(ids()).toEqual([]);
  expect(registry.cursor).toBe(6);
});

test('a snapshot removes what it should have had and lacks', () => {
  registry.apply([entry('a', 0), entry('b', 1), entry('c', 9)], 10);
  registry.load({entries: [entry('b', 1)], end: 5});
  expect(ids()).toEqual(['b', 'c']);
});

test('what lapses while the store is away stays for its time', () => {
  // The store goes away and entries lapse in it though their upstreams live.
  // Without the grace the whole service would be empty for two seconds.
  registry.apply([entry('a', 0), entry('b', 1)], 2);
  registry.noteStoreUnavailable();
  registry.load({entries: [], end: 5});
  expect(ids()).toEqual(['a', 'b']);
  registry.apply([entry('a', 6)], 7);
  clock.advance(2_600);
  registry.tick();
  expect(ids()).toEqual(['a']);
});

test('an upstream that had said it leaves is gone at once', () => {
  registry.apply([entry('a', 0), entry('a', 1, true)], 2);
  registry.noteStoreUnavailable();
  registry.apply([removed('a', 2)], 3);
  expect(registry.find('a')).toBeUndefined();
});

test('in calm times a removal holds at once', () => {
  registry.apply([entry('a', 0)], 1);
  registry.apply([removed('a', 1)], 2);
  expect(ids()).toEqual([]);
});

test('an upstream whose record was overwritten is not taken for lapsed', () => {
  // While the store is away somebody else writes under an upstream's name. Its
  // record names nothing to use, so that nothing is sent by what stood before.
  registry.apply([entry('a', 0)], 1);
  registry.noteStoreUnavailable();
  registry.apply([{kind: 'unusable', name: 'a', position: 1}], 2);
  expect(ids()).toEqual([]);
});
