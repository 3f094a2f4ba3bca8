import {beforeEach, expect, test} from 'vitest';
import type {
  RegistryEntry,
  UpstreamReport,
} from '../src/decisions/registry/index.js';
import {
  InstanceResolver,
  UpstreamRegistry,
} from '../src/decisions/registry/index.js';
import {ManualClock} from '../src/time/index.js';
import {reportOf} from './support/upstreams.js';

let clock: ManualClock;
let registry: UpstreamRegistry;
let resolver: InstanceResolver;
let position: number;

beforeEach(() => {
  clock = new ManualClock(100_000);
  registry = new UpstreamRegistry(clock);
  resolver = new InstanceResolver(clock, registry);
  position = 0;
});

function report(differing: Partial<UpstreamReport>): RegistryEntry {
  const entry = resolver.resolve({
    kind: 'report',
    name: 'a',
    position,
    report: reportOf('a', differing),
  });
  applyEntry(entry);
  return entry;
}

function resolveAbsent(kind: 'removed' | 'unusable'): void {
  applyEntry(resolver.resolve({kind, name: 'a', position}));
}

function applyEntry(entry: RegistryEntry): void {
  position += 1;
  registry.apply([entry], position);
}

function ids(): readonly string[] {
  return registry.inService('s').map(({id}) => id);
}

test('an upstream that starts again under its name is another life', () => {
  // An upstream crashes and is back under its name, empty. Sent to by the load
  // and the failures of its earlier life it would stand idle, or be flooded.
  report({bornAt: 1_000, sequence: 40});
  const [before] = ids();
  report({bornAt: 9_000, sequence: 1});
  expect(ids()).toHaveLength(1);
  expect(ids()).not.toEqual([before]);
  expect(registry.find(before ?? '')).toBeUndefined();
});

test('reports of one life keep its name', () => {
  report({bornAt: 1_000, sequence: 1});
  const before = ids();
  report({bornAt: 1_000, sequence: 2});
  expect(ids()).toEqual(before);
});

test('a life nobody heard of ends unseen', () => {
  // It starts, crashes and starts again between two reads: only its third life
  // is ever seen. Reports of the first must not pass for the third's.
  report({bornAt: 1_000, sequence: 40});
  const [first] = ids();
  report({bornAt: 9_000, sequence: 41});
  expect(ids()).not.toEqual([first]);
});

test('a late write of an earlier life brings nothing back', () => {
  // The store carries a write out seconds after it was made. By then its writer
  // has crashed and another life reports from a new address.
  report({bornAt: 1_000, sequence: 40, address: '10.0.0.1:80'});
  report({bornAt: 9_000, sequence: 1, address: '10.0.0.2:80'});
  report({bornAt: 1_000, sequence: 41, address: '10.0.0.1:80'});
  expect(registry.inService('s')[0]?.address).toBe('10.0.0.2:80');
});

test('a late write brings nothing back after the last life has gone', () => {
  report({bornAt: 1_000, sequence: 40});
  report({bornAt: 9_000, sequence: 1});
  resolveAbsent('removed');
  report({bornAt: 1_000, sequence: 41});
  expect(ids()).toEqual([]);
});

test('a late write does not undo a leave', () => {
  // An upstream says that it leaves; a report that it made before arrives after.
  // Taken as news, it would be sent requests that it can't finish.
  report({bornAt: 1_000, sequence: 5});
  report({bornAt: 1_000, sequence: 7, leaving: true});
  report({bornAt: 1_000, sequence: 6});
  expect(ids()).toEqual([]);
});

test('a start told by a clock that was set back is believed in time', () => {
  // The upstream's clock jumps back before it starts again, so that its new
  // life tells the earlier start. Ignored for good, its slots would be lost.
  report({bornAt: 9_000, sequence: 40});
  report({bornAt: 8_000, sequence: 1});
  const [before] = ids();
  clock.advance(7_000);
  report({bornAt: 8_000, sequence: 6});
  expect(ids()).toHaveLength(1);
  expect(ids()).not.toEqual([before]);
});

test('a count of reports that falls tells of another life', () => {
  // Upstreams that tell no start count their reports anew when they start.
  report({sequence: 40});
  const [first] = ids();
  report({sequence: 41});
  expect(ids()).toEqual([first]);
  report({sequence: 1});
  const [second] = ids();
  expect(second).not.toBe(first);
  report({sequence: 2});
  expect(ids()).toEqual([second]);
});

test('an upstream whose record is overwritten is back with its next report', () => {
  report({bornAt: 1_000, sequence: 5});
  const before = ids();
  resolveAbsent('unusable');
  expect(ids()).toEqual([]);
  report({bornAt: 1_000, sequence: 6});
  expect(ids()).toEqual(before);
});

test('a new reader goes on from what it heard of the lives', () => {
  // The host that reads the store dies and another takes over. It must not take
  // a late write of an earlier life for news either.
  report({bornAt: 9_000, sequence: 40});
  resolver.clear();
  const before = ids();
  report({bornAt: 1_000, sequence: 90});
  expect(ids()).toEqual(before);
});

test('a page read twice changes nothing', () => {
  report({bornAt: 1_000, sequence: 5});
  report({bornAt: 9_000, sequence: 1});
  const before = ids();
  position = 0;
  report({bornAt: 1_000, sequence: 5});
  expect(ids()).toEqual(before);
});
