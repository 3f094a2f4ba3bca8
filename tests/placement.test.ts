import {beforeEach, expect, test} from 'vitest';
import type {
  LoadReport,
  PlacementRequest,
  ProbeAnswer,
} from '../src/decisions/placement/index.js';
import {
  LoadView,
  OutcomeHistory,
  PlacementPolicy,
  WorkEstimates,
  estimateCompletion,
} from '../src/decisions/placement/index.js';
import {DEFAULT_OPTIONS} from '../src/decisions/options/index.js';
import type {UpstreamInService} from '../src/decisions/registry/index.js';
import {ManualClock, seededRandom} from '../src/time/index.js';
import {
  inService,
  noColdLimits,
  coldLimitAdmission,
} from './support/upstreams.js';

const IDLE: LoadReport = {running: 0, waiting: 0, slots: 6, slowness: 1};

let clock: ManualClock;
let outcomes: OutcomeHistory;
let work: WorkEstimates;
let policy: PlacementPolicy;
let view: LoadView;

beforeEach(() => {
  clock = new ManualClock();
  outcomes = new OutcomeHistory(clock, DEFAULT_OPTIONS);
  work = new WorkEstimates();
  view = new LoadView(clock);
  const cold = noColdLimits(clock);
  policy = new PlacementPolicy({
    host: 'entry-1',
    hosts: () => ({all: 312, near: 52}),
    dataCentre: 'east',
    clock,
    random: seededRandom(1),
    outcomes,
    work,
    view,
    cold,
    admission: coldLimitAdmission(clock, cold),
    options: DEFAULT_OPTIONS,
  });
  work.observe('s', 'r', 200, IDLE);
});

function upstream(
  id: string,
  dataCentre = 'east',
  warmAt = 0,
): UpstreamInService {
  return inService(id, {dataCentre, warmAt});
}

function probeAnswer(
  id: string,
  load: Partial<LoadReport> = {},
  healthy = true,
): ProbeAnswer {
  return {id, report: {...IDLE, ...load}, healthy};
}

function request(more: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    service: 's',
    route: 'r',
    tried: new Set(),
    targetMs: 600,
    targetAt: 600,
    giveUpAt: 1_500,
    ...more,
  };
}

const NEAR = [upstream('a'), upstream('b')];
const BOTH = [upstream('a'), upstream('far', 'west')];

test('slowness holds for the whole run, however long', () => {
  expect(estimateCompletion({...IDLE, slowness: 4}, 880, 0)).toBe(3_520);
  expect(estimateCompletion({...IDLE, slowness: 4}, 150, 0)).toBe(600);
});

test('what starts in the last slots is slower, what queues later still', () => {
  const free = estimateCompletion({...IDLE, running: 2}, 200, 200);
  const last = estimateCompletion({...IDLE, running: 5}, 200, 200);
  const queued = estimateCompletion(
    {...IDLE, running: 6, waiting: 3},
    200,
    200,
  );
  expect(last).toBeGreaterThan(free);
  expect(queued).toBeGreaterThan(last);
});

test('a slow upstream is passed over for one that is not', () => {
  const answers = [
    probeAnswer('a', {slowness: 4}),
    probeAnswer('b', {running: 3}),
  ];
  const verdict = policy.decide(NEAR, request(), answers, false);
  expect(verdict).toEqual({kind: 'send', id: 'b'});
});

test('others are asked when none nearby is safe', () => {
  const answers = [
    probeAnswer('a', {slowness: 4}),
    probeAnswer('b', {running: 6}),
  ];
  const verdict = policy.decide(NEAR, request(), answers, false);
  expect(verdict.kind).toBe('ask-more');
});

test('a near upstream goes before a far one that is as good', () => {
  const answers = [probeAnswer('a', {running: 2}), probeAnswer('far')];
  expect(policy.decide(BOTH, request(), answers, true)).toEqual({
    kind: 'send',
    id: 'a',
  });
});

test('a far upstream is taken when near ones would be late', () => {
  const answers = [probeAnswer('a', {slowness: 4}), probeAnswer('far')];
  expect(policy.decide(BOTH, request(), answers, true)).toEqual({
    kind: 'send',
    id: 'far',
  });
});

test('a request takes no slow slot while it can still be in time', () => {
  // All upstreams are slow at this moment. Sent now, the request would be
  // late for certain; the next report may tell of one that isn't slow.
  const answers = [
    probeAnswer('a', {slowness: 4}),
    probeAnswer('b', {slowness: 4}),
  ];
  expect(policy.decide(NEAR, request(), answers, true).kind).toBe('no-room');
});

test('when all upstreams stay slow, requests are served late', () => {
  // All upstreams turn slow for seconds. Kept for requests that could be in
  // time, their slots would stay free while everybody is refused.
  const answers = [
    probeAnswer('a', {slowness: 9}),
    probeAnswer('b', {slowness: 8}),
  ];
  expect(policy.decide(NEAR, request(), answers, true).kind).toBe('no-room');
  clock.advance(400);
  const next = request({targetAt: 1_000, giveUpAt: 3_000});
  expect(policy.decide(NEAR, next, answers, true).kind).toBe('send');
});

test('a request that can no longer be in time takes any free slot', () => {
  clock.set(450);
  const answers = [
    probeAnswer('a', {slowness: 4}),
    probeAnswer('b', {running: 6}),
  ];
  expect(policy.decide(NEAR, request(), answers, true)).toEqual({
    kind: 'send',
    id: 'a',
  });
});

test('a full upstream is never sent to', () => {
  clock.set(450);
  const answers = [
    probeAnswer('a', {running: 6}),
    probeAnswer('b', {running: 6, waiting: 2}),
  ];
  expect(policy.decide(NEAR, request(), answers, true).kind).toBe('no-room');
});

test('requests that a report has not counted fill slots too', () => {
  for (let sends = 0; sends < 6; sends += 1) {
    view.noteSend('a');
  }
  const answers = [probeAnswer('a'), probeAnswer('b', {running: 3})];
  expect(policy.decide(NEAR, request(), answers, true)).toEqual({
    kind: 'send',
    id: 'b',
  });
});

test('an upstream that has just started gets less', () => {
  const cold = [upstream('a', 'east', 3_000), upstream('b')];
  const answers = [probeAnswer('a'), probeAnswer('b', {running: 3})];
  expect(policy.decide(cold, request(), answers, true)).toEqual({
    kind: 'send',
    id: 'b',
  });
});

test('an upstream that fails while it looks idle is avoided, then tried again', () => {
  // Its health and load are good while it fails what it runs, so that a
  // choice by load alone prefers it to all others.
  outcomes.failed('a', 'error');
  outcomes.failed('a', 'error');
  const answers = [probeAnswer('a'), probeAnswer('b', {running: 3})];
  expect(policy.decide(NEAR, request(), answers, true)).toEqual({
    kind: 'send',
    id: 'b',
  });
  clock.advance(20_000);
  const later = request({targetAt: 20_600, giveUpAt: 21_500});
  const idle = [probeAnswer('a'), probeAnswer('b', {slowness: 2})];
  expect(policy.decide(NEAR, later, idle, true)).toEqual({
    kind: 'send',
    id: 'a',
  });
});

test('an upstream that sheds is used when nothing else has room', () => {
  // Upstreams with free slots shed half of what they get. Counted as time, the
  // sheds made all of them look too slow: requests waited until they were
  // refused while four of six slots were free.
  for (let i = 0; i < 20; i += 1) {
    outcomes.failed('a', 'shed');
  }
  const answers = [
    probeAnswer('a', {running: 2}),
    probeAnswer('b', {running: 6}),
  ];
  expect(policy.decide(NEAR, request(), answers, true)).toEqual({
    kind: 'send',
    id: 'a',
  });
});

test('one that sheds comes after one that does not', () => {
  outcomes.failed('a', 'shed');
  outcomes.failed('a', 'shed');
  const answers = [probeAnswer('a'), probeAnswer('b', {running: 3})];
  expect(policy.decide(NEAR, request(), answers, true)).toEqual({
    kind: 'send',
    id: 'b',
  });
});

test('when all fail alike, none is waited for', () => {
  // Every upstream of a service fails part of its requests. There is none
  // better to wait for, and half of what is sent is still served.
  for (const {id} of NEAR) {
    Array.from({length: 6}, () => outcomes.failed(id, 'error'));
  }
  const answers = [probeAnswer('a'), probeAnswer('b', {running: 6})];
  expect(policy.decide(NEAR, request(), answers, true).kind).toBe('send');
});

test('when all say that they are ill, one of them is used', () => {
  clock.set(450);
  const answers = [probeAnswer('a', {}, false), probeAnswer('b', {}, false)];
  expect(policy.decide(NEAR, request(), answers, true).kind).toBe('send');
});

test('equals share the requests', () => {
  const chosen = Array.from({length: 40}, () =>
    policy.decide(NEAR, request(), [probeAnswer('a'), probeAnswer('b')], true),
  );
  const ids = new Set(chosen.map(one => (one.kind === 'send' ? one.id : '')));
  expect(ids).toEqual(new Set(['a', 'b']));
});

test('those tried or asked are not asked again, and near ones come first', () => {
  const all = [upstream('a'), upstream('b'), upstream('far', 'west')];
  const tried = request({tried: new Set(['a'])});
  const first = policy.probeTargets(all, tried, new Set(), false);
  expect(first.map(({id}) => id)).toEqual(['b']);
  const next = policy.probeTargets(all, tried, new Set(['b']), false);
  expect(next.map(({id}) => id)).toEqual(['far']);
});

test('the last to be asked are in other data centres', () => {
  // Many upstreams are nearby and all of them are full. Asked until the rounds
  // are over, none elsewhere would ever be heard of.
  const near = Array.from({length: 20}, (_, i) => upstream(`near-${i}`));
  const all = [...near, upstream('far', 'west')];
  const last = policy.probeTargets(all, request(), new Set(), true);
  expect(last.map(({id}) => id)).toEqual(['far']);
});

test('when most call themselves ill, they are not believed', () => {
  // The health endpoints of most of a service say ill while all is well.
  // Believed, the few others were full and four in ten requests were refused,
  // beside free slots.
  const ids = ['a', 'b', 'c', 'd', 'e'];
  const all = ids.map(id => upstream(id));
  const answers = ids.map(id => probeAnswer(id, {running: 2}, false));
  const full = probeAnswer('f', {running: 6});
  const judge = (): string =>
    policy.decide([...all, upstream('f')], request(), [...answers, full], true)
      .kind;
  expect(judge()).toBe('no-room');
  for (let i = 0; i < 20; i += 1) {
    judge();
  }
  expect(judge()).toBe('send');
});

test('a few that call themselves ill are believed', () => {
  const answers = [probeAnswer('a', {}, false), probeAnswer('b', {running: 3})];
  for (let i = 0; i < 20; i += 1) {
    expect(policy.decide(NEAR, request(), answers, true)).toEqual({
      kind: 'send',
      id: 'b',
    });
  }
});
