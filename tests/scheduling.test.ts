import {beforeEach, expect, test} from 'vitest';
import {DEFAULT_OPTIONS} from '../src/decisions/options/index.js';
import type {ProbeAnswer} from '../src/decisions/placement/index.js';
import {
  LoadView,
  OutcomeHistory,
  PlacementPolicy,
  ResetHistory,
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

/** Also the mechanisms that are off by default. */
const OPTIONS = {...DEFAULT_OPTIONS, followsShortage: true};

const REGIONS = new Map([
  ['east', 'here'],
  ['west', 'there'],
]);

let clock: ManualClock;
let view: LoadView;
let upstreams: UpstreamInService[];
let scheduler: ServiceScheduler;
let canConnect: boolean;
let isCutOff: boolean;
let nextId: number;

beforeEach(() => {
  clock = new ManualClock(10_000);
  view = new LoadView(clock);
  upstreams = ['a', 'b', 'c', 'd', 'e', 'f'].map(id => inService(id));
  isCutOff = false;
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
    resets: new ResetHistory(),
    work,
    view,
    cold,
    admission: coldLimitAdmission(clock, cold),
    options: OPTIONS,
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
    isCutOff: () => isCutOff,
    gain: new SharingGain(clock, true),
    regionOf: dataCentre => REGIONS.get(dataCentre),
    options: OPTIONS,
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

/** Answers all probes with the same load until no more are sent. */
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

test('no probe is sent if recent answers show two upstreams with capacity', () => {
  view.note(probeAnswer('a', 1));
  view.note(probeAnswer('b', 2, 2));
  const actions = scheduler.schedule(request());
  expect(probedIds(actions)).toEqual([]);
  expect(schedulingResults(actions)).toMatchObject([
    {kind: 'placed', answer: {id: 'a'}},
  ]);
});

test('upstreams are probed again once their answers are too old', () => {
  view.note(probeAnswer('a', 1));
  view.note(probeAnswer('b', 2));
  clock.advance(DEFAULT_OPTIONS.reuseMs + 1);
  expect(probedIds(scheduler.schedule(request()))).toHaveLength(
    DEFAULT_OPTIONS.asked,
  );
});

test('probes are sent if only one upstream has a recent answer', () => {
  // A host with little traffic only has the answer of the upstream that it used last.
  // Without another to compare, it would send everything there and never find better ones.
  view.note(probeAnswer('a', 0));
  expect(probedIds(scheduler.schedule(request())).length).toBeGreaterThan(0);
});

test('concurrent searches probe different upstreams', () => {
  const first = probedIds(scheduler.schedule(request()));
  const second = probedIds(scheduler.schedule(request()));
  const third = probedIds(scheduler.schedule(request()));
  const all = [...first, ...second, ...third];
  expect(new Set(all).size).toBe(all.length);
});

test('no two requests of a host are sent to the same free slot', () => {
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

test('without capacity a request is refused at once with a Retry-After', () => {
  // All upstreams are full. Queued until its target has passed, the request would be
  // late for certain; refused at once, its caller retries on another host after about a
  // tenth of its target.
  const [result] = answerAll(scheduler.schedule(request()), 6);
  expect(result).toMatchObject({kind: 'refused', reason: 'no-room'});
  expect(clock.now()).toBe(10_000);
  if (result?.kind === 'refused') {
    expect(result.retryAfterMs).toBeGreaterThanOrEqual(30);
    expect(result.retryAfterMs).toBeLessThanOrEqual(45);
    expect(result.told.length).toBeGreaterThan(0);
  }
});

test('callers that are refused together retry at different times', () => {
  const times = new Set<number>();
  for (let i = 0; i < 20; i += 1) {
    for (const result of answerAll(scheduler.schedule(request()), 6)) {
      times.add(result.kind === 'refused' ? result.retryAfterMs : 0);
    }
  }
  expect(times.size).toBeGreaterThan(15);
});

test('if no probe is answered, others are sent and then the request is refused', () => {
  // Upstreams don't answer any probe. The caller must not wait for all of them.
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

test('no probe is sent without a connection to any upstream', () => {
  canConnect = false;
  const actions = scheduler.schedule(request());
  expect(probedIds(actions)).toEqual([]);
  expect(schedulingResults(actions)).toMatchObject([{kind: 'refused'}]);
});

test('a request that was sent to every upstream is refused', () => {
  const tried = new Set(upstreams.map(({id}) => id));
  const actions = scheduler.schedule({...request(), tried});
  expect(schedulingResults(actions)).toMatchObject([{reason: 'no-upstream'}]);
});

test('a request whose caller has left is not sent', () => {
  const wanted = request();
  const actions = scheduler.schedule(wanted);
  scheduler.leave(wanted.id);
  expect(answerAll(actions, 0)).toEqual([]);
});

test('a request that is restricted to regions stays in them', () => {
  // The operator allows a route's data in one region only. Sent to the nearest upstream
  // regardless, the data would leave that region.
  upstreams = [inService('a'), inService('b', {dataCentre: 'west'})];
  const restricted = {...request(), regions: ['there']};
  expect(probedIds(scheduler.schedule(restricted))).toEqual(['b']);
});

test('a request without an upstream in its regions is refused at once', () => {
  upstreams = [inService('a'), inService('b', {dataCentre: 'unknown'})];
  const restricted = {...request(), regions: ['there']};
  const [action] = scheduler.schedule(restricted);
  expect(action).toMatchObject({
    kind: 'settle',
    result: {kind: 'refused', reason: 'no-upstream'},
  });
});

/**
 * Searches while all nearby upstreams are full and all remote ones are idle.
 *
 * @returns the upstreams that the first round probed
 */
function searchInShortage(): readonly string[] {
  clock.advance(250);
  const first = scheduler.schedule(request());
  let open = [...first];
  for (let next = open.shift(); next !== undefined; next = open.shift()) {
    if (next.kind === 'probe') {
      const {id, dataCentre} = next.upstream;
      const answer = probeAnswer(id, dataCentre === 'west' ? 0 : 6);
      open = [...open, ...scheduler.noteProbeResult(id, answer)];
    }
  }
  return probedIds(first);
}

// Guards against two rounds of probes at full upstreams before each remote one.
test('under a lasting local shortage the first round probes other data centres', () => {
  const remote = ['x', 'y', 'z'].map(id => inService(id, {dataCentre: 'west'}));
  upstreams = [...upstreams, ...remote];
  const isRemote = (id: string): boolean => 'xyz'.includes(id);
  expect(searchInShortage().some(isRemote)).toBe(false);
  Array.from({length: 40}, searchInShortage);
  const rounds = Array.from({length: 10}, searchInShortage);
  const mixed = rounds.filter(ids => ids.some(isRemote));
  expect(mixed.length).toBeGreaterThan(5);
  // The end of a shortage is only seen by probes of nearby upstreams.
  expect(mixed.some(ids => ids.every(isRemote))).toBe(false);
  expect(rounds.every(ids => ids.length <= DEFAULT_OPTIONS.asked)).toBe(true);
});

// Guards against refusals while tunnels are being opened, and against long waits in vain.
test('a host that is cut off waits longer for answers, in one round', () => {
  isCutOff = true;
  scheduler.schedule(request());
  clock.advance(119);
  expect(schedulingResults(scheduler.tick())).toEqual([]);
  clock.advance(1);
  const actions = scheduler.tick();
  expect(probedIds(actions)).toEqual([]);
  expect(schedulingResults(actions)).toMatchObject([
    {kind: 'refused', reason: 'no-room'},
  ]);
});
