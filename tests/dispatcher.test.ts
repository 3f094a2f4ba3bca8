import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {
  AttemptFailure,
  DispatchDecision,
} from '../src/decisions/dispatch/index.js';
import {ManualClock} from '../src/time/index.js';
import {POLICY, newDispatcher, newRequest, sends} from './support/dispatch.js';

type Step =
  | {readonly kind: 'arrive'; readonly repeatable: boolean}
  | {readonly kind: 'end'; readonly pick: number; readonly how: string}
  | {readonly kind: 'wait'; readonly ms: number}
  | {readonly kind: 'expire'; readonly pick: number};

const steps = fc.array(
  fc.oneof(
    fc.record({
      kind: fc.constant('arrive' as const),
      repeatable: fc.boolean(),
    }),
    fc.record({
      kind: fc.constant('end' as const),
      pick: fc.nat(),
      how: fc.constantFrom('answered', 'unsent', 'shed', 'error', 'broken'),
    }),
    fc.record({kind: fc.constant('wait' as const), ms: fc.nat(60)}),
    fc.record({kind: fc.constant('expire' as const), pick: fc.nat()}),
  ),
  {minLength: 20, maxLength: 200},
);

/** Plays steps; returns per request what was sent and how it ended. */
function simulate(list: readonly Step[]) {
  const clock = new ManualClock();
  const dispatcher = newDispatcher({}, clock);
  const attempts: {id: number; attempt: number; upstream: string}[] = [];
  const history = new Map<
    number,
    {repeatable: boolean; mayRun: number; upstreams: string[]; finals: number}
  >();
  let ids = 0;
  let arrived = 0;
  let extra = 0;
  let mostWaiting = 0;
  const note = (decisions: readonly DispatchDecision[]): void => {
    for (const decision of decisions) {
      const entry = history.get(decision.requestId);
      if (!entry) {
        continue;
      }
      if (decision.kind === 'send') {
        const {requestId: id, attempt, upstream} = decision;
        attempts.push({id, attempt, upstream});
        entry.mayRun += 1;
        entry.upstreams.push(upstream);
        extra += attempt > 0 ? 1 : 0;
      } else if (decision.kind === 'cancel') {
        const at = attempts.findIndex(
          one =>
            one.id === decision.requestId && one.attempt === decision.attempt,
        );
        attempts.splice(at, 1);
      } else {
        entry.finals += 1;
      }
    }
    mostWaiting = Math.max(mostWaiting, dispatcher.waitingCount);
  };
  const end = (pick: number, how: string): void => {
    const [attempt] = attempts.splice(pick % (attempts.length || 1), 1);
    if (!attempt) {
      return;
    }
    const {id: requestId, attempt: number} = attempt;
    const entry = history.get(requestId);
    if (how === 'answered') {
      if (entry) {
        entry.finals += 1;
      }
      note(dispatcher.handle({kind: 'answered', requestId, attempt: number}));
      return;
    }
    const failure = how as AttemptFailure;
    if (entry && (failure === 'unsent' || failure === 'shed')) {
      entry.mayRun -= 1;
    }
    note(
      dispatcher.handle({
        kind: 'failed',
        failure,
        requestId,
        attempt: number,
      }),
    );
  };
  for (const step of list) {
    if (step.kind === 'arrive') {
      ids += 1;
      arrived += 1;
      const {repeatable} = step;
      history.set(ids, {repeatable, mayRun: 0, upstreams: [], finals: 0});
      const request = newRequest(ids, {
        repeatable,
        hedge: true,
        // A rule that allows an order retries must not get it any.
        retries: 2,
        deadlineAt: clock.now() + 10_000,
      });
      note(dispatcher.handle({kind: 'arrived', request}));
    } else if (step.kind === 'end') {
      end(step.pick, step.how);
    } else if (step.kind === 'wait') {
      clock.advance(step.ms);
      note(dispatcher.handle({kind: 'tick'}));
    } else {
      const requestId = 1 + (step.pick % Math.max(1, ids));
      note(dispatcher.handle({kind: 'expired', requestId}));
    }
  }
  return {history: [...history.values()], arrived, extra, mostWaiting};
}

test('an order may run at most once, whatever happens', () => {
  fc.assert(
    fc.property(steps, list => {
      const orders = simulate(list).history.filter(one => !one.repeatable);
      return orders.every(one => one.mayRun <= 1);
    }),
    {seed: 11, numRuns: 300},
  );
});

test('no request is tried twice at one upstream', () => {
  fc.assert(
    fc.property(steps, list =>
      simulate(list).history.every(
        one => new Set(one.upstreams).size === one.upstreams.length,
      ),
    ),
    {seed: 12, numRuns: 200},
  );
});

test('a request gets at most one final outcome', () => {
  fc.assert(
    fc.property(steps, list =>
      simulate(list).history.every(one => one.finals <= 1),
    ),
    {seed: 13, numRuns: 200},
  );
});

test('extra attempts and the queue stay within bounds', () => {
  fc.assert(
    fc.property(steps, list => {
      const {arrived, extra, mostWaiting} = simulate(list);
      // Each budget starts with one and earns a tenth of an attempt each.
      expect(extra).toBeLessThanOrEqual(2 + 2 * 0.1 * arrived);
      expect(mostWaiting).toBeLessThanOrEqual(POLICY.queue);
    }),
    {seed: 14, numRuns: 200},
  );
});

test('a whole outage does not multiply the load', () => {
  // Every upstream fails at once. With a retry for each failure the servers
  // would get three times the requests just when they can take the fewest.
  const dispatcher = newDispatcher();
  let sent = 0;
  for (let id = 1; id <= 1_000; id += 1) {
    let pending = sends(
      dispatcher.handle({kind: 'arrived', request: newRequest(id)}),
    );
    while (pending.length > 0) {
      sent += pending.length;
      pending = pending.flatMap(({requestId, attempt}) =>
        sends(
          dispatcher.handle({
            kind: 'failed',
            failure: 'broken',
            requestId,
            attempt,
          }),
        ),
      );
    }
  }
  expect(sent).toBeLessThanOrEqual(1_101);
});

test('only the outermost call retries what may have run', () => {
  const dispatcher = newDispatcher({retryRatio: 1});
  const deep = newRequest(1, {depth: 5});
  dispatcher.handle({kind: 'arrived', request: deep});
  const decisions = dispatcher.handle({
    kind: 'failed',
    failure: 'broken',
    requestId: 1,
    attempt: 0,
  });
  expect(decisions).toMatchObject([{kind: 'refuse', outcome: 'unknown'}]);
});

test('a draining upstream gets nothing new', () => {
  const dispatcher = newDispatcher({}, new ManualClock(), 100);
  const drained = dispatcher.upstreams.get('u0');
  if (drained) {
    drained.draining = true;
  }
  for (let id = 1; id <= 30; id += 1) {
    const request = newRequest(id);
    const [send] = sends(dispatcher.handle({kind: 'arrived', request}));
    expect(send?.upstream).not.toBe('u0');
  }
});

test('a fail-fast upstream does not attract traffic', () => {
  // One server answers errors within a millisecond. By requests in flight it
  // looks idle, so a choice by load alone would send it most of the traffic.
  const clock = new ManualClock();
  const dispatcher = newDispatcher({retryRatio: 0}, clock, 1);
  const counts = new Map<string, number>();
  const working: {requestId: number; attempt: number}[] = [];
  for (let id = 1; id <= 400; id += 1) {
    clock.advance(1);
    const done = id % 3 === 0 ? working.splice(0, 1) : [];
    const decisions = done.flatMap(one =>
      dispatcher.handle({...one, kind: 'answered'}),
    );
    const request = newRequest(id);
    for (const {requestId, attempt, upstream} of sends([
      ...decisions,
      ...dispatcher.handle({kind: 'arrived', request}),
    ])) {
      counts.set(upstream, (counts.get(upstream) ?? 0) + 1);
      if (upstream === 'u1') {
        dispatcher.handle({
          kind: 'failed',
          failure: 'error',
          requestId,
          attempt,
        });
      } else {
        working.push({requestId, attempt});
      }
    }
  }
  expect(counts.get('u1')).toBeGreaterThan(0);
  expect(counts.get('u1')).toBeLessThan(10);
});

test('a common cause does not eject every upstream', () => {
  const {upstreams} = newDispatcher();
  for (let turn = 0; turn < 10; turn += 1) {
    for (const upstream of upstreams.all) {
      upstreams.send(upstream, turn);
      upstreams.end(upstream, turn, 'error', turn);
    }
  }
  const phases = upstreams.all.map(one => one.health.phase(10));
  expect(phases.filter(phase => phase === 'ejected')).toHaveLength(1);
});

test('with every upstream draining a request is refused at once', () => {
  const dispatcher = newDispatcher();
  dispatcher.upstreams.all.forEach(one => (one.draining = true));
  expect(
    dispatcher.handle({kind: 'arrived', request: newRequest(1)}),
  ).toMatchObject([
    {kind: 'refuse', outcome: 'not-run', reason: 'no-upstream'},
  ]);
});

test('an ejected upstream comes back by one trial at a time', () => {
  const clock = new ManualClock();
  const dispatcher = newDispatcher({}, clock);
  const {upstreams} = dispatcher;
  const failing = upstreams.get('u0');
  for (let turn = 0; failing && turn < 5; turn += 1) {
    upstreams.send(failing, turn);
    upstreams.end(failing, turn, 'error', turn);
  }
  clock.advance(600);
  const toEjected: DispatchDecision[] = [];
  for (let id = 1; id <= 40; id += 1) {
    const request = newRequest(id, {repeatable: id > 20, retries: 0});
    const decisions = sends(dispatcher.handle({kind: 'arrived', request}));
    toEjected.push(...decisions.filter(one => one.upstream === 'u0'));
  }
  expect(toEjected).toHaveLength(1);
  expect(toEjected[0]?.requestId).toBeGreaterThan(20);
});
