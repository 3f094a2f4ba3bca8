import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {OrdersRecord, Settlement} from '../src/decisions/claims/index.js';
import {
  AppendBudget,
  ClaimStateMachine,
  ClaimTable,
  evaluateOrder,
} from '../src/decisions/claims/index.js';
import {ManualClock} from '../src/time/index.js';

const WINDOW = 1_000;

function claim(nonce: string, key = 'k', fingerprint = 'f'): OrdersRecord {
  return {
    kind: 'orders',
    claims: [{key, fingerprint, nonce}],
    settlements: [],
  };
}

function settle(nonce: string, result: Settlement['result']): OrdersRecord {
  return {
    kind: 'orders',
    claims: [],
    settlements: [{key: 'k', nonce, result}],
  };
}

function tableOf(
  records: readonly (readonly [OrdersRecord, number])[],
  first = 0,
): ClaimTable {
  const table = new ClaimTable(WINDOW);
  records.forEach(([record, at], index) => {
    table.advance(first + index, at);
    table.apply(record, at);
  });
  return table;
}

/** Claims an order on an empty log; returns the record to be appended. */
function claimOne(claims: ClaimStateMachine, deadlineAt: number): OrdersRecord {
  claims.handle({kind: 'read', offset: 0, appendedAt: 0});
  const order = {key: 'k', fingerprint: 'f', deadlineAt};
  const [append] = claims.handle({kind: 'claimed', order, nonce: 'one'});
  if (append?.kind !== 'append') {
    throw new Error('no append');
  }
  return append.record;
}

test('the first claim on the log wins', () => {
  const table = tableOf([
    [claim('one'), 0],
    [claim('two'), 1],
  ]);
  expect(evaluateOrder(table, 'k', 'f', 'one').kind).toBe('run');
  expect(evaluateOrder(table, 'k', 'f', 'two')).toMatchObject({
    reason: 'order-in-progress',
  });
});

test('another order with the same key is refused', () => {
  const table = tableOf([[claim('one'), 0]]);
  expect(evaluateOrder(table, 'k', 'other')).toMatchObject({
    reason: 'key-reused',
  });
});

test('a recorded response is replayed and an unknown outcome is reported', () => {
  const answer = {status: 201, contentType: 'text/plain', body: 'b2s='};
  const answered = tableOf([
    [claim('one'), 0],
    [settle('one', {kind: 'answered', answer}), 1],
  ]);
  expect(evaluateOrder(answered, 'k', 'f')).toEqual({kind: 'replay', answer});
  const unknown = tableOf([
    [claim('one'), 0],
    [settle('one', {kind: 'unknown'}), 1],
  ]);
  expect(evaluateOrder(unknown, 'k', 'f')).toMatchObject({
    reason: 'order-outcome-unknown',
  });
});

test('only its own claimant can release a claim', () => {
  // A host releases its claim, but the reply is lost and it appends the release
  // again. The duplicate follows another host's winning claim, which it must
  // not release.
  const released: Settlement['result'] = {kind: 'released'};
  const table = tableOf([
    [claim('one'), 0],
    [settle('one', released), 1],
    [claim('two'), 2],
    [settle('one', released), 3],
    [claim('three'), 4],
  ]);
  expect(evaluateOrder(table, 'k', 'f', 'two').kind).toBe('run');
  expect(evaluateOrder(table, 'k', 'f', 'three').kind).toBe('refuse');
});

test('a host that does not know the whole window claims nothing', () => {
  // A host starts after the log dropped older records. The key looks new to it,
  // but was claimed, and its order perhaps run, in a dropped record.
  const table = tableOf([[claim('x', 'other'), 5_000]], 100);
  expect(evaluateOrder(table, 'k', 'f')).toMatchObject({
    reason: 'claims-unavailable',
  });
  table.advance(101, 5_000 + WINDOW);
  expect(evaluateOrder(table, 'k', 'f').kind).toBe('claim');
});

test('a gap in the log resets the coverage', () => {
  const table = tableOf([[claim('one'), 0]]);
  table.advance(50, 10);
  expect(evaluateOrder(table, 'k', 'f')).toMatchObject({
    reason: 'claims-unavailable',
  });
});

test('at any prefix of the log at most one claim may run', () => {
  const records = fc.array(
    fc.tuple(
      fc.constantFrom('a', 'b', 'c', 'd'),
      fc.constantFrom('claim', 'released', 'unknown'),
      fc.nat(200),
    ),
    {maxLength: 40},
  );
  fc.assert(
    fc.property(records, list => {
      const table = new ClaimTable(WINDOW);
      const releasedNonces = new Set<string>();
      let now = 0;
      list.forEach(([nonce, what, gap], index) => {
        now += gap;
        table.advance(index, now);
        const record =
          what === 'claim'
            ? claim(nonce)
            : settle(nonce, {kind: what as 'released' | 'unknown'});
        table.apply(record, now);
        if (what === 'released') {
          releasedNonces.add(nonce);
        }
        const winners = ['a', 'b', 'c', 'd'].filter(
          one => evaluateOrder(table, 'k', 'f', one).kind === 'run',
        );
        expect(winners.length).toBeLessThanOrEqual(1);
      });
    }),
    {seed: 41, numRuns: 300},
  );
});

test('an order whose append reply was lost is run once its claim is read', () => {
  // The append took effect but its reply was lost. Refusing the order then
  // would leave a claim on the log that no host runs or releases.
  const claims = new ClaimStateMachine(WINDOW, 100, new ManualClock());
  const record = claimOne(claims, 500);
  expect(claims.handle({kind: 'appended', record, result: 'unknown'})).toEqual(
    [],
  );
  const read = {
    kind: 'read',
    offset: 1,
    appendedAt: 1,
    orders: record,
  } as const;
  expect(claims.handle(read)).toMatchObject([{verdict: {kind: 'run'}}]);
});

test('a claim without a verdict at its deadline is released', () => {
  const clock = new ManualClock();
  const claims = new ClaimStateMachine(WINDOW, 100, clock);
  const record = claimOne(claims, 500);
  claims.handle({kind: 'appended', record, result: 'unknown'});
  clock.advance(500);
  expect(claims.handle({kind: 'tick'})).toMatchObject([
    {kind: 'verdict', verdict: {reason: 'claims-unavailable'}},
    {kind: 'append', record: {settlements: [{result: {kind: 'released'}}]}},
  ]);
});

test('a claim read after its deadline is released, not run', () => {
  // The host was paused: it reads the record of its claim after the deadline,
  // but before the deadline's timer fires. The caller no longer waits.
  const clock = new ManualClock();
  const claims = new ClaimStateMachine(WINDOW, 100, clock);
  const record = claimOne(claims, 300);
  claims.handle({kind: 'appended', record, result: 'done'});
  clock.advance(300);
  const read = {
    kind: 'read',
    offset: 1,
    appendedAt: 1,
    orders: record,
  } as const;
  expect(claims.handle(read)).toMatchObject([
    {kind: 'verdict', verdict: {reason: 'claims-unavailable'}},
    {kind: 'append', record: {settlements: [{result: {kind: 'released'}}]}},
  ]);
});

test('hosts that disagree about the fleet stay within the append rate', () => {
  const hosts = Array.from({length: 17}, () => new AppendBudget(100 / 17, 0));
  let appends = 0;
  for (let now = 0; now <= 10_000; now += 5) {
    appends += hosts.filter(host => host.trySpend(now) === 0).length;
  }
  // The total for 10 s, plus the burst of each host.
  expect(appends).toBeLessThanOrEqual(1_000 + 17 * 3);
  expect(appends).toBeGreaterThan(900);
});
