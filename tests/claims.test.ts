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

/** Claims an order on an empty log; returns the record to append. */
function claimOne(book: ClaimStateMachine, deadlineAt: number): OrdersRecord {
  book.handle({kind: 'read', offset: 0, appendedAt: 0});
  const order = {key: 'k', fingerprint: 'f', deadlineAt};
  const [append] = book.handle({kind: 'claimed', order, nonce: 'one'});
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

test('another order by the same key is refused', () => {
  const table = tableOf([[claim('one'), 0]]);
  expect(evaluateOrder(table, 'k', 'other')).toMatchObject({
    reason: 'key-reused',
  });
});

test('a recorded answer is given again, an unknown outcome is said', () => {
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
  // A host gave its claim up, but the reply was lost and it says so twice.
  // The copy comes after another host's claim has won, and must not free it.
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
  // A host starts after the log dropped its older records. The key looks new
  // to it, but was claimed, and perhaps run, in what was dropped.
  const table = tableOf([[claim('x', 'other'), 5_000]], 100);
  expect(evaluateOrder(table, 'k', 'f')).toMatchObject({
    reason: 'claims-unavailable',
  });
  table.advance(101, 5_000 + WINDOW);
  expect(evaluateOrder(table, 'k', 'f').kind).toBe('claim');
});

test('a gap in the log starts the coverage anew', () => {
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
      const gaveUp = new Set<string>();
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
          gaveUp.add(nonce);
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

test('a claim whose reply was lost is run once the log shows it', () => {
  // The append took effect but its reply was lost. Refusing the order then
  // would leave a claim on the log that nobody runs or releases.
  const book = new ClaimStateMachine(WINDOW, 100, new ManualClock());
  const record = claimOne(book, 500);
  expect(book.handle({kind: 'appended', record, result: 'unknown'})).toEqual(
    [],
  );
  const read = {
    kind: 'read',
    offset: 1,
    appendedAt: 1,
    orders: record,
  } as const;
  expect(book.handle(read)).toMatchObject([{verdict: {kind: 'run'}}]);
});

test('a claim given up at its deadline is released', () => {
  const clock = new ManualClock();
  const book = new ClaimStateMachine(WINDOW, 100, clock);
  const record = claimOne(book, 500);
  book.handle({kind: 'appended', record, result: 'unknown'});
  clock.advance(500);
  expect(book.handle({kind: 'tick'})).toMatchObject([
    {kind: 'verdict', verdict: {reason: 'claims-unavailable'}},
    {kind: 'append', record: {settlements: [{result: {kind: 'released'}}]}},
  ]);
});

test('a claim read after its deadline is released, not run', () => {
  // The host was paused; its timer for the deadline has not fired yet when the
  // record of its claim is read. Its caller has long been told that it gave up.
  const clock = new ManualClock();
  const book = new ClaimStateMachine(WINDOW, 100, clock);
  const record = claimOne(book, 300);
  book.handle({kind: 'appended', record, result: 'done'});
  clock.advance(300);
  const read = {
    kind: 'read',
    offset: 1,
    appendedAt: 1,
    orders: record,
  } as const;
  expect(book.handle(read)).toMatchObject([
    {kind: 'verdict', verdict: {reason: 'claims-unavailable'}},
    {kind: 'append', record: {settlements: [{result: {kind: 'released'}}]}},
  ]);
});

test('hosts that disagree about the fleet stay within the appends', () => {
  const hosts = Array.from({length: 17}, () => new AppendBudget(100 / 17, 0));
  let appends = 0;
  for (let now = 0; now <= 10_000; now += 5) {
    appends += hosts.filter(host => host.trySpend(now) === 0).length;
  }
  // The share for 10 s, and what each may have saved up.
  expect(appends).toBeLessThanOrEqual(1_000 + 17 * 3);
  expect(appends).toBeGreaterThan(900);
});
