import {beforeEach, expect, test} from 'vitest';
import {DEFAULT_OPTIONS} from '../src/decisions/options/index.js';
import type {ProbeAnswer} from '../src/decisions/placement/index.js';
import {
  LoadView,
  OutcomeHistory,
  PlacementPolicy,
  WorkEstimates,
} from '../src/decisions/placement/index.js';
import {ProbeBudget} from '../src/decisions/probing/index.js';
import type {UpstreamInService} from '../src/decisions/registry/index.js';
import type {
  SchedulingResult,
  ScheduledRequest,
  SchedulerAction,
} from '../src/decisions/scheduling/index.js';
import {ServiceScheduler} from '../src/decisions/scheduling/index.js';
import {SharingGain} from '../src/decisions/sharing/index.js';
import {ManualClock, seededRandom} from '../src/time/index.js';
import {
  inService,
  noColdLimits,
  coldLimitAdmission,
} from './support/upstreams.js';

const REGIONS = new Map([
  ['east', 'here'],
  ['west', 'there'],
]);

let clock: ManualClock;
let view: LoadView;
let upstreams: UpstreamInService[];
let scheduler: ServiceScheduler;
let canConnect: boolean;
let nextId: number;

beforeEach(() => {
  clock = new ManualClock(10_000);
  view = new LoadView(clock);
  upstreams = ['a', 'b', 'c', 'd', 'e', 'f'].map(id => inService(id));
  canConnect = true;
  nextId = 1;
  const random = seededRandom(3);
  const work = new WorkEstimates();
  work.observe('s', 'r', 100, undefined);
  const cold = noColdLimits(clock);
  const policy = new PlacementPolicy({
    host: 'entry-1',
    hosts: () => ({all: 312, near: 52}),
    dataCentre: 'east',
    clock,
    random,
    outcomes: new OutcomeHistory(clock, DEFAULT_OPTIONS),
    work,
    view,
    cold,
    admission: coldLimitAdmission(clock, cold),
    options: DEFAULT_OPTIONS,
  });
  scheduler = new ServiceScheduler({
    clock,
    random,
    policy,
    view,
    probes: new ProbeBudget(clock, 60),
    upstreams: () => upstreams,
    fleetSize: () => ({upstreams: upstreams.length, hosts: 1}),
    canConnect: () => canConnect,
    gain: new SharingGain(clock, true),
    regionOf: dataCentre => REGIONS.get(dataCentre),
    options: DEFAULT_OPTIONS,
  });
});

function request(): ScheduledRequest {
  const id = nextId;
  nextId += 1;
  return {
    id,
    service: 's',
    route: 'r',
    tried: new Set(),
    targetMs: 300,
    targetAt: clock.now() + 300,
    giveUpAt: clock.now() + 1_000,
  };
}

function probeAnswer(id: string, running: number, slowness = 1): ProbeAnswer {
  const report = {running, waiting: 0, slots: 6, slowness};
  return {id, healthy: true, report};
}

function probedIds(actions: readonly SchedulerAction[]): readonly string[] {
  return actions.flatMap(action =>
    action.kind === 'probe' ? [action.upstream.id] : [],
  );
}

function schedulingResults(
  actions: readonly SchedulerAction[],
): readonly SchedulingResult[] {
  return actions.flatMap(action =>
    action.kind === 'settle' ? [action.result] : [],
  );
}

/** Answers all probes alike until nothing more is asked. */
function answerAll(
  actions: readonly SchedulerAction[],
  running: number,
): readonly SchedulingResult[] {
  let open = [...actions];
  const settled: SchedulingResult[] = [...schedulingResults(open)];
  for (let id = probedIds(open)[0]; id !== undefined; id = probedIds(open)[0]) {
    const rest = open.filter(
      action => !(action.kind === 'probe' && action.upstream.id === id),
    );
    const answer = probeAnswer(id, running);
    view.note(answer);
    const next = scheduler.noteProbeResult(id, answer);
    settled.push(...schedulingResults(next));
    open = [...rest, ...next];
  }
  return settled;
}

test('nobody is asked when two upstreams are known to have room', () => {
  view.note(probeAnswer('a', 1));
  view.note(probeAnswer('b', 2, 2));
  const actions = scheduler.schedule(request());
  expect(probedIds(actions)).toEqual([]);
  expect(schedulingResults(actions)).toMatchObject([
    {kind: 'placed', answer: {id: 'a'}},
  ]);
});

test('what is known for long is asked again', () => {
  view.note(probeAnswer('a', 1));
  view.note(probeAnswer('b', 2));
  clock.advance(DEFAULT_OPTIONS.reuseMs + 1);
  expect(probedIds(scheduler.schedule(request()))).toHaveLength(
    DEFAULT_OPTIONS.asked,
  );
});

test('one known upstream is not sent everything', () => {
  // A quiet host hears from the upstream that it used last. Without another to
  // compare it would send all there and never learn of better ones.
  view.note(probeAnswer('a', 0));
  expect(probedIds(scheduler.schedule(request())).length).toBeGreaterThan(0);
});

test('requests that look at once share their probes', () => {
  const first = probedIds(scheduler.schedule(request()));
  const second = probedIds(scheduler.schedule(request()));
  const third = probedIds(scheduler.schedule(request()));
  const all = [...first, ...second, ...third];
  expect(new Set(all).size).toBe(all.length);
});

test('no two requests of a host take the same free slot', () => {
  const actions = scheduler.schedule(request());
  const [id = ''] = probedIds(actions);
  upstreams = upstreams.filter(one => one.id === id);
  const arrivals = [actions, scheduler.schedule(request())].flat();
  const settled = [
    ...schedulingResults(arrivals),
    ...schedulingResults(scheduler.noteProbeResult(id, probeAnswer(id, 5))),
  ];
  clock.advance(50);
  settled.push(...schedulingResults(scheduler.tick()));
  expect(settled.filter(({kind}) => kind === 'placed')).toHaveLength(1);
});

test('without room a request is refused at once, with when to come back', () => {
  // All upstreams are full. Held until its target has passed, the request
  // would be late for certain; refused now, its caller is back on another host
  // within a tenth of its target.
  const [placing] = answerAll(scheduler.schedule(request()), 6);
  expect(placing).toMatchObject({kind: 'refused', reason: 'no-room'});
  expect(clock.now()).toBe(10_000);
  if (placing?.kind === 'refused') {
    expect(placing.retryAfterMs).toBeGreaterThanOrEqual(30);
    expect(placing.retryAfterMs).toBeLessThanOrEqual(45);
    expect(placing.told.length).toBeGreaterThan(0);
  }
});

test('callers that are refused together come back apart', () => {
  const times = new Set<number>();
  for (let i = 0; i < 20; i += 1) {
    for (const placing of answerAll(scheduler.schedule(request()), 6)) {
      times.add(placing.kind === 'refused' ? placing.retryAfterMs : 0);
    }
  }
  expect(times.size).toBeGreaterThan(15);
});

test('when no probe is answered, the next ones are asked and then it ends', () => {
  // Upstreams hang on every probe. The caller must not wait for all of them.
  scheduler.schedule(request());
  let settled: readonly SchedulingResult[] = [];
  const from = clock.now();
  while (settled.length === 0) {
    clock.set(scheduler.dueAt);
    settled = schedulingResults(scheduler.tick());
  }
  expect(settled[0]?.kind).toBe('refused');
  expect(clock.now() - from).toBeLessThanOrEqual(120);
});

test('without a connection to any upstream nothing is asked', () => {
  canConnect = false;
  const actions = scheduler.schedule(request());
  expect(probedIds(actions)).toEqual([]);
  expect(schedulingResults(actions)).toMatchObject([{kind: 'refused'}]);
});

test('a request that has been everywhere is refused', () => {
  const tried = new Set(upstreams.map(({id}) => id));
  const actions = scheduler.schedule({...request(), tried});
  expect(schedulingResults(actions)).toMatchObject([{reason: 'no-upstream'}]);
});

test('one that has left is not placed', () => {
  const wanted = request();
  const actions = scheduler.schedule(wanted);
  scheduler.leave(wanted.id);
  expect(answerAll(actions, 0)).toEqual([]);
});

test('a request whose regions are bound stays in them', () => {
  // The operator allows a route's data in one region. Sent to the nearest upstream
  // all the same, it leaves the region that it may be in.
  upstreams = [inService('a'), inService('b', {dataCentre: 'west'})];
  const bound = {...request(), regions: ['there']};
  expect(probedIds(scheduler.schedule(bound))).toEqual(['b']);
});

test('one for which no upstream is left there is refused at once', () => {
  upstreams = [inService('a'), inService('b', {dataCentre: 'unknown'})];
  const bound = {...request(), regions: ['there']};
  const [action] = scheduler.schedule(bound);
  expect(action).toMatchObject({
    kind: 'settle',
    placing: {kind: 'refused', reason: 'no-upstream'},
  });
});
