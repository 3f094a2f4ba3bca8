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
  ResetHistory,
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
let resets: ResetHistory;

beforeEach(() => {
  clock = new ManualClock();
  outcomes = new OutcomeHistory(clock, DEFAULT_OPTIONS);
  work = new WorkEstimates();
  view = new LoadView(clock);
  resets = new ResetHistory();
  const cold = noColdLimits(clock);
  policy = new PlacementPolicy({
    host: 'entry-1',
    hosts: () => ({all: 312, near: 52}),
    dataCentre: 'east',
    clock,
    random: seededRandom(1),
    outcomes,
    resets,
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

function request(overrides: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    service: 's',
    route: 'r',
    tried: new Set(),
    targetMs: 600,
    targetAt: 600,
    giveUpAt: 1_500,
    ...overrides,
  };
}

const NEAR = [upstream('a'), upstream('b')];
const BOTH = [upstream('a'), upstream('far', 'west')];

test('slowness applies to the whole run, however long it is', () => {
  expect(estimateCompletion({...IDLE, slowness: 4}, 880, 0)).toBe(3_520);
  expect(estimateCompletion({...IDLE, slowness: 4}, 150, 0)).toBe(600);
});

test('requests in the last slots are slower, queued ones slower still', () => {
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

test('a fast upstream is preferred to a slow one', () => {
  const answers = [
    probeAnswer('a', {slowness: 4}),
    probeAnswer('b', {running: 3}),
  ];
  const verdict = policy.decide(NEAR, request(), answers, false);
  expect(verdict).toEqual({kind: 'send', id: 'b'});
});

test('more upstreams are probed when none nearby is safely in time', () => {
  const answers = [
    probeAnswer('a', {slowness: 4}),
    probeAnswer('b', {running: 6}),
  ];
  const verdict = policy.decide(NEAR, request(), answers, false);
  expect(verdict.kind).toBe('ask-more');
});

test('a near upstream is preferred to a far one that is as fast', () => {
  const answers = [probeAnswer('a', {running: 2}), probeAnswer('far')];
  expect(policy.decide(BOTH, request(), answers, true)).toEqual({
    kind: 'send',
    id: 'a',
  });
});

test('a far upstream is chosen when near ones would be late', () => {
  const answers = [probeAnswer('a', {slowness: 4}), probeAnswer('far')];
  expect(policy.decide(BOTH, request(), answers, true)).toEqual({
    kind: 'send',
    id: 'far',
  });
});

test('a request does not use a slow slot while it can still be in time', () => {
  // All upstreams are slow at the moment. If sent now, the request would certainly be
  // late; a later probe may find a fast upstream.
  const answers = [
    probeAnswer('a', {slowness: 4}),
    probeAnswer('b', {slowness: 4}),
  ];
  expect(policy.decide(NEAR, request(), answers, true).kind).toBe('no-room');
});

test('when all upstreams stay slow, requests are served late', () => {
  // All upstreams are slow for seconds. If their slots were reserved for requests that
  // can be in time, they would stay free while all requests are refused.
  const answers = [
    probeAnswer('a', {slowness: 9}),
    probeAnswer('b', {slowness: 8}),
  ];
  expect(policy.decide(NEAR, request(), answers, true).kind).toBe('no-room');
  clock.advance(400);
  const next = request({targetAt: 1_000, giveUpAt: 3_000});
  expect(policy.decide(NEAR, next, answers, true).kind).toBe('send');
});

test('a request that can no longer be in time uses any free slot', () => {
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

test('a full upstream is never chosen', () => {
  clock.set(450);
  const answers = [
    probeAnswer('a', {running: 6}),
    probeAnswer('b', {running: 6, waiting: 2}),
  ];
  expect(policy.decide(NEAR, request(), answers, true).kind).toBe('no-room');
});

test('requests sent since a report count as occupied slots', () => {
  for (let sends = 0; sends < 6; sends += 1) {
    view.noteSend('a');
  }
  const answers = [probeAnswer('a'), probeAnswer('b', {running: 3})];
  expect(policy.decide(NEAR, request(), answers, true)).toEqual({
    kind: 'send',
    id: 'b',
  });
});

test('a warm upstream is preferred to a cold one', () => {
  const cold = [upstream('a', 'east', 3_000), upstream('b')];
  const answers = [probeAnswer('a'), probeAnswer('b', {running: 3})];
  expect(policy.decide(cold, request(), answers, true)).toEqual({
    kind: 'send',
    id: 'b',
  });
});

test('an upstream that fails while it looks idle is avoided, then tried again', () => {
  // Its health and load reports are good while its requests fail, so a choice by load
  // alone would prefer it to all others.
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
  // Upstreams with free slots shed half of their requests. If sheds raised the expected
  // response time, all upstreams would look too slow, and requests would wait until they
  // are refused while four of six slots are free.
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

test('an upstream that does not shed is preferred to one that does', () => {
  outcomes.failed('a', 'shed');
  outcomes.failed('a', 'shed');
  const answers = [probeAnswer('a'), probeAnswer('b', {running: 3})];
  expect(policy.decide(NEAR, request(), answers, true)).toEqual({
    kind: 'send',
    id: 'b',
  });
});

test('when all upstreams fail alike, requests are still sent', () => {
  // Every upstream of a service fails some of its requests. There is no better one to
  // wait for, and half of the requests are still served.
  for (const {id} of NEAR) {
    Array.from({length: 6}, () => outcomes.failed(id, 'error'));
  }
  const answers = [probeAnswer('a'), probeAnswer('b', {running: 6})];
  expect(policy.decide(NEAR, request(), answers, true).kind).toBe('send');
});

test('when all upstreams report themselves unhealthy, one of them is used', () => {
  clock.set(450);
  const answers = [probeAnswer('a', {}, false), probeAnswer('b', {}, false)];
  expect(policy.decide(NEAR, request(), answers, true).kind).toBe('send');
});

test('equally good upstreams share the requests', () => {
  const chosen = Array.from({length: 40}, () =>
    policy.decide(NEAR, request(), [probeAnswer('a'), probeAnswer('b')], true),
  );
  const ids = new Set(chosen.map(one => (one.kind === 'send' ? one.id : '')));
  expect(ids).toEqual(new Set(['a', 'b']));
});

test('tried and probed upstreams are not probed again, and near ones come first', () => {
  const all = [upstream('a'), upstream('b'), upstream('far', 'west')];
  const tried = request({tried: new Set(['a'])});
  const first = policy.probeTargets(all, tried, new Set(), false);
  expect(first.map(({id}) => id)).toEqual(['b']);
  const next = policy.probeTargets(all, tried, new Set(['b']), false);
  expect(next.map(({id}) => id)).toEqual(['far']);
});

test('the last round probes other data centres', () => {
  // Many upstreams are nearby and all of them are full. If all rounds probed nearby, free
  // remote upstreams would never be found.
  const near = Array.from({length: 20}, (_, i) => upstream(`near-${i}`));
  const all = [...near, upstream('far', 'west')];
  const last = policy.probeTargets(all, request(), new Set(), true);
  expect(last.map(({id}) => id)).toEqual(['far']);
});

test('unhealthy reports are ignored when most of a service sends them', () => {
  // Most of a service's health endpoints report a failure although all upstreams work.
  // If the reports counted, the few healthy upstreams would be full and four in ten
  // requests refused, in spite of free slots.
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

test('unhealthy reports count when few upstreams send them', () => {
  const answers = [probeAnswer('a', {}, false), probeAnswer('b', {running: 3})];
  for (let i = 0; i < 20; i += 1) {
    expect(policy.decide(NEAR, request(), answers, true)).toEqual({
      kind: 'send',
      id: 'b',
    });
  }
});

/** Teaches that a service resets the connection when it is full. */
function learnResets(): void {
  for (let i = 0; i < 3; i += 1) {
    resets.noteEnd('s', IDLE, 1, 'reset');
  }
}

// Guards against an order that takes a slot which another host's request just took.
test('an order is not sent to the last slot of a service that resets', () => {
  const answers = [probeAnswer('a', {running: 5})];
  view.note(probeAnswer('a', {running: 5}));
  const order = request({repeatable: false});
  expect(policy.decide(NEAR, order, answers, true).kind).toBe('send');
  learnResets();
  expect(policy.decide(NEAR, order, answers, true).kind).toBe('no-room');
  expect(policy.decide(NEAR, request(), answers, true).kind).toBe('send');
});

// Guards against an order that takes a slot which this host's requests will take.
test('unreported sends count where a service resets', () => {
  learnResets();
  const order = request({repeatable: false});
  const answers = [probeAnswer('a', {running: 3})];
  view.note(probeAnswer('a', {running: 3}));
  policy.noteSend(upstream('a'));
  expect(policy.decide(NEAR, order, answers, true).kind).toBe('send');
  policy.noteSend(upstream('a'));
  expect(policy.decide(NEAR, order, answers, true).kind).toBe('no-room');
});

// Guards against an order that is sent by a report which is out of date.
test('an order is not sent by an old report where a service resets', () => {
  learnResets();
  const order = request({repeatable: false});
  const answers = [probeAnswer('a', {running: 1})];
  view.note(probeAnswer('a', {running: 1}));
  expect(policy.decide(NEAR, order, answers, true).kind).toBe('send');
  clock.advance(31);
  expect(policy.decide(NEAR, order, answers, true).kind).toBe('no-room');
});

// Guards against a service of single slots that gets no orders at all.
test('an idle upstream of a single slot gets orders', () => {
  learnResets();
  const answers = [probeAnswer('a', {slots: 1})];
  view.note(probeAnswer('a', {slots: 1}));
  const order = request({repeatable: false});
  expect(policy.decide(NEAR, order, answers, true).kind).toBe('send');
});

// Guards against a round of one probe where a request may not leave the data centre.
test.each([
  [0, 3],
  [1, 2],
  [4, 1],
])(
  'with %i remote upstreams a remote search probes %i nearby',
  (remote, near) => {
    const ids = ['a', 'b', 'c', 'd'];
    const far = ids.slice(0, remote).map(id => upstream(`far-${id}`, 'west'));
    const all = [...ids.map(id => upstream(id)), ...far];
    const targets = policy.probeTargets(all, request(), new Set(), false, true);
    expect(targets).toHaveLength(DEFAULT_OPTIONS.asked);
    const inside = targets.filter(({dataCentre}) => dataCentre === 'east');
    expect(inside).toHaveLength(near);
  },
);
