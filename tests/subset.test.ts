import {expect, test} from 'vitest';
import {DEFAULT_OPTIONS} from '../src/decisions/options/index.js';
import {
  LoadView,
  OutcomeHistory,
  PlacementPolicy,
  ResetHistory,
  Subset,
  WorkEstimates,
} from '../src/decisions/placement/index.js';
import type {UpstreamInService} from '../src/decisions/registry/index.js';
import {ManualClock, seededRandom} from '../src/time/index.js';
import {
  inService,
  noColdLimits,
  coldLimitAdmission,
} from './support/upstreams.js';

const SIZE = 10;

function upstreams(count: number): readonly UpstreamInService[] {
  return Array.from({length: count}, (_, i) => inService(`i-${i}@${i * 37}`));
}

function idsOf(
  subset: Subset,
  from: readonly UpstreamInService[],
  hosts = 1_000,
): string[] {
  return subset.of(from, hosts).map(({id}) => id);
}

/** Number of hosts' subsets that each upstream belongs to. */
function subsetCounts(
  hosts: number,
  all: readonly UpstreamInService[],
): readonly number[] {
  const uses = new Map(all.map(({id}) => [id, 0]));
  for (let i = 0; i < hosts; i += 1) {
    for (const id of idsOf(new Subset(`entry-${i}`, SIZE), all, hosts)) {
      uses.set(id, (uses.get(id) ?? 0) + 1);
    }
  }
  return [...uses.values()];
}

test('the subset of a host survives a restart', () => {
  const all = upstreams(45);
  const ids = idsOf(new Subset('entry-1', SIZE), all);
  expect(ids).toHaveLength(SIZE);
  expect(idsOf(new Subset('entry-1', SIZE), [...all].reverse()).sort()).toEqual(
    [...ids].sort(),
  );
});

test('all upstreams belong to the subset if they are few', () => {
  const all = upstreams(SIZE);
  expect(new Subset('entry-1', SIZE).of(all, 1_000)).toEqual(all);
  expect(new Subset('entry-1', SIZE).of(upstreams(45), 0)).toHaveLength(45);
});

test('an upstream that joins or leaves changes at most one member', () => {
  const all = upstreams(45);
  const subset = new Subset('entry-1', SIZE);
  const ids = idsOf(subset, all);
  for (const removed of all) {
    const left = idsOf(
      subset,
      all.filter(one => one !== removed),
    );
    const kept = ids.filter(id => left.includes(id));
    expect(kept.length).toBeGreaterThanOrEqual(SIZE - 1);
    expect(left).toHaveLength(SIZE);
  }
});

test.each([
  // Hosts and upstreams of one data centre, as in users' deployments.
  [13, 14],
  [33, 54],
  [52, 45],
  [100, 90],
  [300, 270],
])('%i hosts spread over %i upstreams', (hosts, count) => {
  // An upstream in no subset is probed only when others have no free slots; one in most
  // subsets is probed by almost all hosts.
  const uses = subsetCounts(hosts, upstreams(count));
  const mean = uses.reduce((sum, one) => sum + one, 0) / count;
  expect(Math.max(...uses) / mean).toBeLessThan(2.2);
  expect(Math.min(...uses) / mean).toBeGreaterThan(0.2);
});

test('later rounds probe all near upstreams, the last one a subset of far ones', () => {
  // All upstreams of a host's subset are slow or full, others nearby have free slots.
  const clock = new ManualClock();
  const cold = noColdLimits(clock);
  const policy = new PlacementPolicy({
    host: 'entry-1',
    hosts: () => ({all: 312, near: 52}),
    dataCentre: 'east',
    clock,
    random: seededRandom(1),
    outcomes: new OutcomeHistory(clock, DEFAULT_OPTIONS),
    resets: new ResetHistory(),
    work: new WorkEstimates(),
    view: new LoadView(clock),
    cold,
    admission: coldLimitAdmission(clock, cold),
    options: DEFAULT_OPTIONS,
  });
  const near = upstreams(45);
  const far = near.map(({id}) => inService(`far-${id}`, {dataCentre: 'west'}));
  const subset = idsOf(new Subset('entry-1', DEFAULT_OPTIONS.subset), near, 52);
  const request = {
    service: 's',
    route: 'r',
    tried: new Set<string>(),
    targetMs: 600,
    targetAt: 600,
    giveUpAt: 1_500,
  };
  const seen = new Set<string>();
  for (let i = 0; i < 200; i += 1) {
    const first = policy.probeTargets(
      [...near, ...far],
      request,
      new Set(),
      false,
    );
    first.forEach(({id}) => expect(subset).toContain(id));
    const asked = new Set(first.map(({id}) => id));
    policy
      .probeTargets([...near, ...far], request, asked, false)
      .forEach(({id}) => seen.add(id));
  }
  expect(seen.size).toBe(45);
  const last = new Set<string>();
  for (let i = 0; i < 200; i += 1) {
    policy
      .probeTargets([...near, ...far], request, new Set(['i-0@0']), true)
      .forEach(({id}) => last.add(id));
  }
  expect(last.size).toBe(DEFAULT_OPTIONS.subset);
  expect([...last].every(id => id.startsWith('far-'))).toBe(true);
});

test('pruned upstreams keep their place in the subset', () => {
  const subset = new Subset('entry-1', SIZE);
  const all = upstreams(45);
  const before = idsOf(subset, all);
  subset.prune(() => false);
  expect(idsOf(subset, all)).toEqual(before);
});
