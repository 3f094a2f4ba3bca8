import fc from 'fast-check';
import {expect, test} from 'vitest';
import {ProbeBudget} from '../src/decisions/probing/index.js';
import {SlidingWindowBudget} from '../src/decisions/retries/index.js';
import {ManualClock} from '../src/time/index.js';

const WINDOW_MS = 10_000;

test('repeats are a share of the first sends of the window', () => {
  const budget = new SlidingWindowBudget(new ManualClock(), WINDOW_MS, 0.2);
  for (let i = 0; i < 10; i += 1) {
    budget.noteFirstAttempt();
  }
  expect([budget.trySpend(0), budget.trySpend(0), budget.trySpend(0)]).toEqual([
    true,
    true,
    false,
  ]);
  expect(budget.trySpend(1)).toBe(true);
});

test('what a quiet time has saved does not outlast the window', () => {
  const clock = new ManualClock();
  const budget = new SlidingWindowBudget(clock, WINDOW_MS, 0.2);
  for (let i = 0; i < 100; i += 1) {
    budget.noteFirstAttempt();
  }
  clock.advance(WINDOW_MS + 1_001);
  expect(budget.trySpend(0)).toBe(false);
});

test('all hosts together stay within the share in every window', () => {
  // Every upstream fails at once, and each host repeats what it may. The
  // operators count repeats over any window and all hosts; a share that saved
  // up, or that hosts counted from different times, would exceed it.
  const moves = fc.array(
    fc.record({
      host: fc.nat({max: 4}),
      waitMs: fc.nat({max: 700}),
      firsts: fc.nat({max: 6}),
    }),
    {minLength: 50, maxLength: 200},
  );
  fc.assert(
    fc.property(moves, steps => {
      const clock = new ManualClock();
      const budgets = Array.from(
        {length: 5},
        () => new SlidingWindowBudget(clock, WINDOW_MS, 0.17),
      );
      const events: {at: number; repeat: boolean}[] = [];
      for (const {host, waitMs, firsts} of steps) {
        clock.advance(waitMs);
        for (let i = 0; i < firsts; i += 1) {
          budgets[host]?.noteFirstAttempt();
          events.push({at: clock.now(), repeat: false});
          if (budgets[host]?.trySpend(0)) {
            events.push({at: clock.now(), repeat: true});
          }
        }
      }
      return events.every(({at: end}) => isWithin(events, end));
    }),
    {seed: 7, numRuns: 60},
  );
});

/** The operators' rule, for the window that ends at a time. */
function isWithin(
  events: readonly {at: number; repeat: boolean}[],
  end: number,
): boolean {
  const count = (from: number, to: number, repeat: boolean): number =>
    events.filter(one => one.repeat === repeat && one.at > from && one.at <= to)
      .length;
  const repeats = count(end - WINDOW_MS, end, true);
  const firsts = [0, 0.5, 1].map(back => {
    const to = end - back * WINDOW_MS;
    return count(to - WINDOW_MS, to, false);
  });
  return repeats <= 0.2 * Math.max(...firsts) + 1;
}

test('probes of all hosts stay within what upstreams may get', () => {
  const clock = new ManualClock();
  const hosts = 13;
  const upstreams = 24;
  const seconds = 60;
  const budgets = Array.from({length: hosts}, () => new ProbeBudget(clock, 60));
  let sent = 0;
  for (let step = 0; step < seconds * 10; step += 1) {
    clock.advance(100);
    budgets.forEach(budget => {
      sent += budget.take(50, upstreams, hosts);
    });
  }
  expect(sent / upstreams / seconds).toBeLessThan(60);
  expect(sent / upstreams / seconds).toBeGreaterThan(40);
});
