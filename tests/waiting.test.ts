import {expect, test} from 'vitest';
import type {DispatchDecision} from '../src/decisions/dispatch/index.js';
import {ManualClock} from '../src/time/index.js';
import {newDispatcher, newRequest, sends} from './support/dispatch.js';

test('patient requests get their share of turns, prompt ones the rest', () => {
  const dispatcher = newDispatcher({queue: 1_000}, new ManualClock(), 1);
  let running: {requestId: number; attempt: number}[] = [];
  const order: string[] = [];
  const classes = new Map<number, 'prompt' | 'patient'>();
  const note = (decisions: readonly DispatchDecision[]): void => {
    for (const {requestId, attempt} of sends(decisions)) {
      running.push({requestId, attempt});
      order.push(classes.get(requestId) ?? '');
    }
  };
  for (let id = 1; id <= 400; id += 1) {
    const kind = id % 2 === 0 ? 'prompt' : 'patient';
    classes.set(id, kind);
    const request = newRequest(id, {class: kind, deadlineAt: 1e9});
    note(dispatcher.handle({kind: 'arrived', request}));
  }
  const before = order.length;
  while (order.length < before + 100) {
    const [next, ...rest] = running;
    running = rest;
    if (!next) {
      break;
    }
    note(dispatcher.handle({...next, kind: 'answered'}));
  }
  const served = order.slice(before, before + 100);
  const patient = served.filter(kind => kind === 'patient').length;
  expect(patient).toBeGreaterThanOrEqual(19);
  expect(patient).toBeLessThanOrEqual(22);
});

test('a noisy tenant does not delay the others', () => {
  const dispatcher = newDispatcher({queue: 1_000}, new ManualClock(), 1);
  let running: {requestId: number; attempt: number}[] = [];
  const note = (decisions: readonly DispatchDecision[]): number[] => {
    const started = sends(decisions);
    running = [...running, ...started];
    return started.map(one => one.requestId);
  };
  for (let id = 1; id <= 500; id += 1) {
    const request = newRequest(id, {tenant: 'noisy', deadlineAt: 1e9});
    note(dispatcher.handle({kind: 'arrived', request}));
  }
  const quiet = newRequest(501, {tenant: 'quiet', deadlineAt: 1e9});
  note(dispatcher.handle({kind: 'arrived', request: quiet}));
  const started: number[] = [];
  for (let turn = 0; turn < 3; turn += 1) {
    const [next, ...rest] = running;
    running = rest;
    if (next) {
      started.push(...note(dispatcher.handle({...next, kind: 'answered'})));
    }
  }
  expect(started).toContain(501);
});

test('a request that cannot meet its deadline is refused as not run', () => {
  const clock = new ManualClock();
  const dispatcher = newDispatcher({queue: 1_000}, clock, 1);
  const refusals: DispatchDecision[] = [];
  for (let id = 1; id <= 200; id += 1) {
    const request = newRequest(id, {deadlineAt: 30});
    const decisions = dispatcher.handle({kind: 'arrived', request});
    refusals.push(...decisions.filter(one => one.kind === 'refuse'));
  }
  expect(refusals.length).toBeGreaterThan(100);
  expect(refusals[0]).toMatchObject({
    outcome: 'not-run',
    reason: 'cannot-meet-deadline',
  });
});

test('queued requests are refused once every upstream is draining', () => {
  const dispatcher = newDispatcher({}, new ManualClock(), 1);
  for (let id = 1; id <= 12; id += 1) {
    dispatcher.handle({kind: 'arrived', request: newRequest(id)});
  }
  const {waitingCount} = dispatcher;
  dispatcher.upstreams.all.forEach(one => (one.draining = true));
  const decisions = dispatcher.handle({kind: 'tick'});
  expect(waitingCount).toBeGreaterThan(0);
  expect(decisions).toHaveLength(waitingCount);
  expect(decisions[0]).toMatchObject({kind: 'refuse', outcome: 'not-run'});
});
