import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {
  ServingStatusInput,
  HostStatement,
  KnownPeer,
} from '../src/decisions/membership/index.js';
import {
  PeerTable,
  SeatTable,
  homeHostsOf,
  evaluateServingStatus,
  replicationWatermarkOf,
} from '../src/decisions/membership/index.js';
import {HandoverTracker} from '../src/decisions/handover/index.js';

function statement(more: Partial<HostStatement> = {}): HostStatement {
  return {
    host: 'b',
    incarnation: 1,
    sequence: 1,
    dataCentre: 'x',
    callerAddress: '10.0.0.2:80',
    controlAddress: '10.0.0.2:81',
    ready: true,
    leaving: false,
    next: 5,
    ...more,
  };
}

function peer(
  more: Partial<KnownPeer> & {next?: number; host?: string} = {},
): KnownPeer {
  const {next = 5, host = 'b', ...rest} = more;
  return {
    statement: statement({next, host}),
    lastHeardAt: 10_000,
    logCaughtUpAt: -Infinity,
    ...rest,
  };
}

function input(more: Partial<ServingStatusInput> = {}): ServingStatusInput {
  return {
    now: 10_000,
    leaseMs: 3_000,
    logCaughtUpAt: 9_900,
    next: 5,
    incomplete: false,
    self: 'a',
    peers: [],
    seats: ['a', 'b', 'c'],
    ...more,
  };
}

test('a host that has read to the end of the log serves', () => {
  expect(evaluateServingStatus(input())).toEqual({
    kind: 'current',
    basis: 'log',
  });
});

test('a partitioned host stops serving when its lease expires', () => {
  // A region is partitioned for an hour while an operator changes a rule.
  // Hosts there would serve the old rule to callers all that time.
  const partitioned = input({logCaughtUpAt: 6_000});
  expect(evaluateServingStatus(partitioned)).toMatchObject({
    kind: 'stale',
    reason: 'cut-off',
  });
});

test('a host behind a peer catches up before it serves', () => {
  const ahead = peer({next: 6});
  expect(
    evaluateServingStatus(input({logCaughtUpAt: 6_000, peers: [ahead]})),
  ).toEqual({
    kind: 'stale',
    reason: 'behind-peer',
    ahead,
  });
});

test('in a log outage a majority keeps serving, a minority does not', () => {
  const outage = {logCaughtUpAt: -Infinity};
  expect(evaluateServingStatus(input({...outage, peers: [peer()]}))).toEqual({
    kind: 'current',
    basis: 'majority',
  });
  expect(evaluateServingStatus(input({...outage, peers: []}))).toMatchObject({
    kind: 'stale',
  });
});

test('a host with missing records never serves', () => {
  expect(evaluateServingStatus(input({incomplete: true}))).toMatchObject({
    kind: 'stale',
    reason: 'incomplete',
  });
});

/** Partitions hosts into two sides that exchange statements only among themselves. */
const splits = fc.record({
  hosts: fc.integer({min: 1, max: 9}),
  side: fc.array(fc.boolean(), {minLength: 9, maxLength: 9}),
  newer: fc.array(fc.boolean(), {minLength: 9, maxLength: 9}),
  logSide: fc.boolean(),
});

test('no host serves without a change that a majority has', () => {
  fc.assert(
    fc.property(splits, ({hosts, side, newer, logSide}) => {
      const names = Array.from({length: hosts}, (_, index) => `h${index}`);
      const next = (index: number): number =>
        side[index] === logSide && newer[index] ? 6 : 5;
      const inputOf = (index: number): ServingStatusInput => ({
        now: 10_000,
        leaseMs: 3_000,
        logCaughtUpAt: side[index] === logSide && next(index) === 6 ? 9_900 : 0,
        next: next(index),
        incomplete: false,
        self: names[index] ?? '',
        seats: names,
        peers: names.flatMap((host, other) =>
          other !== index && side[other] === side[index]
            ? [
                peer({
                  host,
                  next: next(other),
                  logCaughtUpAt: next(other) === 6 ? 9_900 : 0,
                }),
              ]
            : [],
        ),
      });
      const accepted = names.some((_, index) => {
        const {inForce, seats} = replicationWatermarkOf(5, inputOf(index));
        return inForce * 2 > seats;
      });
      const servesOldVersion = names.some(
        (_, index) =>
          next(index) === 5 &&
          evaluateServingStatus(inputOf(index)).kind === 'current',
      );
      expect(accepted && servesOldVersion).toBe(false);
    }),
    {seed: 31, numRuns: 1_000},
  );
});

test('late, duplicate and reordered statements are ignored', () => {
  const table = new PeerTable('a');
  const receive = (sequence: number, next: number, now: number): void =>
    table.merge(
      {statement: statement({sequence, next}), logAgeMs: 100},
      now,
      now,
    );
  receive(2, 7, 1_000);
  receive(1, 6, 1_500);
  receive(2, 7, 2_000);
  expect(table.get('b')).toMatchObject({
    statement: {next: 7},
    lastHeardAt: 1_000,
    logCaughtUpAt: 900,
  });
});

test('statements of an earlier incarnation are ignored', () => {
  const table = new PeerTable('a');
  const merge = (incarnation: number, sequence: number): void =>
    table.merge(
      {statement: statement({incarnation, sequence}), logAgeMs: null},
      0,
      0,
    );
  merge(2, 1);
  merge(1, 900);
  expect(table.get('b')?.statement.incarnation).toBe(2);
});

test('an age is counted from before the message was written', () => {
  // An answer takes 2 s. Counted from its arrival, the peer would seem to have
  // read to the log's end 2 s later than it did, and a lease would last longer.
  const table = new PeerTable('a');
  table.merge({statement: statement(), logAgeMs: 500}, 8_000, 10_000);
  expect(table.get('b')?.logCaughtUpAt).toBe(7_500);
});

test('an earlier incarnation does not give up a seat', () => {
  const seats = new SeatTable();
  const seat = {kind: 'seat' as const, host: 'a'};
  seats.apply({...seat, incarnation: 2, leave: false}, 0);
  seats.apply({...seat, incarnation: 1, leave: true}, 1);
  expect(seats.has('a')).toBe(true);
  seats.apply({...seat, incarnation: 2, leave: true}, 2);
  expect(seats.has('a')).toBe(false);
});

test('a home host changes only when it leaves', () => {
  const hosts = Array.from({length: 6}, (_, index) => ({
    host: `h${index}`,
    dataCentre: 'x',
  }));
  const [home] = homeHostsOf('swaps', 'x', hosts, 1);
  const others = hosts.filter(one => one !== home);
  expect(
    homeHostsOf('swaps', 'x', [...others.slice(1), ...(home ? [home] : [])], 1),
  ).toEqual([home]);
  expect(homeHostsOf('swaps', 'x', others, 1)).not.toEqual([home]);
});

test('requests are taken back from a silent home host, not from a slow one', () => {
  // A home host is paused for 10 s. Requests handed over to it would hang until
  // the deadlines of their callers.
  const book = new HandoverTracker();
  book.handOver(1, 0);
  book.acknowledge(1);
  expect(book.reclaimIfOverdue(5_000)).toEqual([]);
  book.handOver(2, 5_000);
  expect(book.reclaimIfOverdue(5_049)).toEqual([]);
  expect(book.reclaimIfOverdue(5_050)).toEqual([1, 2]);
  expect(book.mayHandOver(5_060)).toBe(false);
  expect(book.mayHandOver(5_600)).toBe(true);
});
