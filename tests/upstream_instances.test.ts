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

function report(overrides: Partial<UpstreamReport>): RegistryEntry {
  const entry = resolver.resolve({
    kind: 'report',
    name: 'a',
    position,
    report: reportOf('a', overrides),
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

test('an upstream that restarts under its name is a new instance', () => {
  // An upstream crashes and restarts idle under its name. If hosts still used the load and
  // the failures of its previous instance, it would get no requests or too many.
  report({bornAt: 1_000, sequence: 40});
  const [before] = ids();
  report({bornAt: 9_000, sequence: 1});
  expect(ids()).toHaveLength(1);
  expect(ids()).not.toEqual([before]);
  expect(registry.find(before ?? '')).toBeUndefined();
});

test('reports of one instance keep its id', () => {
  report({bornAt: 1_000, sequence: 1});
  const before = ids();
  report({bornAt: 1_000, sequence: 2});
  expect(ids()).toEqual(before);
});

test('a restart is detected even if the sequence number grows', () => {
  // An upstream restarts twice between two reads, so its second instance is never seen.
  // The state of the first must not be attributed to the third, whose sequence is higher.
  report({bornAt: 1_000, sequence: 40});
  const [first] = ids();
  report({bornAt: 9_000, sequence: 41});
  expect(ids()).not.toEqual([first]);
});

test('a late write of a previous instance does not restore it', () => {
  // The store applies a write seconds after it was made. By then its writer has crashed,
  // and a new instance reports from another address.
  report({bornAt: 1_000, sequence: 40, address: '10.0.0.1:80'});
  report({bornAt: 9_000, sequence: 1, address: '10.0.0.2:80'});
  report({bornAt: 1_000, sequence: 41, address: '10.0.0.1:80'});
  expect(registry.inService('s')[0]?.address).toBe('10.0.0.2:80');
});

test('a late write does not restore an instance after the removal', () => {
  report({bornAt: 1_000, sequence: 40});
  report({bornAt: 9_000, sequence: 1});
  resolveAbsent('removed');
  report({bornAt: 1_000, sequence: 41});
  expect(ids()).toEqual([]);
});

test('a late write does not undo the announcement of leaving', () => {
  // An upstream announces that it leaves; a report that it made earlier is applied later.
  // If that report counted, the upstream would get requests that it can't finish.
  report({bornAt: 1_000, sequence: 5});
  report({bornAt: 1_000, sequence: 7, leaving: true});
  report({bornAt: 1_000, sequence: 6});
  expect(ids()).toEqual([]);
});

test('an earlier start time is accepted after a while', () => {
  // The upstream's clock jumps back before it restarts, so that its new instance reports
  // an earlier start. If it were always ignored, its slots would be lost.
  report({bornAt: 9_000, sequence: 40});
  report({bornAt: 8_000, sequence: 1});
  const [before] = ids();
  clock.advance(7_000);
  report({bornAt: 8_000, sequence: 6});
  expect(ids()).toHaveLength(1);
  expect(ids()).not.toEqual([before]);
});

test('a decreasing sequence number indicates a new instance', () => {
  // Upstreams that don't report their start reset the sequence number when they restart.
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

test('an upstream whose record is overwritten returns with its next report', () => {
  report({bornAt: 1_000, sequence: 5});
  const before = ids();
  resolveAbsent('unusable');
  expect(ids()).toEqual([]);
  report({bornAt: 1_000, sequence: 6});
  expect(ids()).toEqual(before);
});

test('a new reader resumes with the instances received from other hosts', () => {
  // The host that reads the store fails and another takes over. It must also ignore a
  // late write of a previous instance.
  report({bornAt: 9_000, sequence: 40});
  resolver.clear();
  const before = ids();
  report({bornAt: 1_000, sequence: 90});
  expect(ids()).toEqual(before);
});

test('a record that is read twice changes nothing', () => {
  report({bornAt: 1_000, sequence: 5});
  report({bornAt: 9_000, sequence: 1});
  const before = ids();
  position = 0;
  report({bornAt: 1_000, sequence: 5});
  expect(ids()).toEqual(before);
});
