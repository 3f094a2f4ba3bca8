import fc from 'fast-check';
import {expect, test} from 'vitest';
import {LargestCustomers} from '../src/decisions/customers/index.js';

const LIMITS = {
  maxNamed: 3,
  maxCounted: 12,
  halfLifeMs: 60_000,
  reviewMs: 10_000,
};

function noteMany(
  largest: LargestCustomers,
  name: string,
  count: number,
): void {
  for (let i = 0; i < count; i += 1) {
    largest.note(name);
  }
}

// Guards against large customers that are lost among many small ones.
test('the largest customers are named among thousands of small ones', () => {
  const largest = new LargestCustomers(LIMITS);
  for (let i = 0; i < 3_000; i += 1) {
    largest.note(`small-${i}`);
    largest.note(['a', 'b', 'c'][i % 3] ?? '');
  }
  largest.review(10_000);
  expect(['a', 'b', 'c'].map(name => largest.isNamed(name))).toEqual(
    Array(3).fill(true),
  );
});

// Guards against names of customers that stopped sending long ago.
test('a customer that stopped sending makes room for those that send', () => {
  const largest = new LargestCustomers(LIMITS);
  ['a', 'b', 'c'].forEach(name => noteMany(largest, name, 1_000));
  largest.review(0);
  noteMany(largest, 'd', 100);
  expect(largest.review(10_000)).toEqual([]);
  expect(largest.review(300_000)).toEqual([]);
  ['a', 'b', 'd'].forEach(name => noteMany(largest, name, 100));
  expect(largest.review(310_000)).toEqual(['c']);
  expect(largest.isNamed('d')).toBe(true);
});

// Guards against counters that restart at each review as equal customers alternate.
test('customers of nearly equal size do not replace each other', () => {
  const largest = new LargestCustomers(LIMITS);
  ['a', 'b', 'c'].forEach(name => noteMany(largest, name, 100));
  noteMany(largest, 'd', 110);
  expect(largest.review(10_000)).toEqual([]);
});

// Guards against all of the names staying in use while nobody sends anything.
test('without requests nobody is named after some time', () => {
  const largest = new LargestCustomers(LIMITS);
  noteMany(largest, 'a', 50);
  largest.review(0);
  expect(largest.review(3_600_000)).toEqual(['a']);
});

// Guards against label sets that grow with the number of customers.
test('never more customers are named than allowed, and drops are told once', () => {
  const step = fc.record({name: fc.nat(40), waitMs: fc.nat(30_000)});
  fc.assert(
    fc.property(fc.array(step, {maxLength: 300}), steps => {
      const largest = new LargestCustomers(LIMITS);
      const labels = new Set<string>();
      let now = 0;
      for (const {name, waitMs} of steps) {
        now += waitMs;
        largest.review(now).forEach(dropped => {
          expect(largest.isNamed(dropped)).toBe(false);
          labels.delete(dropped);
        });
        largest.note(`c${name}`);
        if (largest.isNamed(`c${name}`)) {
          labels.add(`c${name}`);
        }
        expect(labels.size).toBeLessThanOrEqual(LIMITS.maxNamed);
      }
    }),
  );
});
