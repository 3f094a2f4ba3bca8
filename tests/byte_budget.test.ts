import {expect, test} from 'vitest';
import {ByteBudget} from '../src/decisions/limits/index.js';

function reserveNamed(
  budget: ByteBudget,
  bytes: number,
  name: string,
  granted: string[],
): () => void {
  return budget.reserve(bytes, () => granted.push(name));
}

test('what fits is granted at once, the rest in the order it came', () => {
  const budget = new ByteBudget(100);
  const granted: string[] = [];
  const endFirst = reserveNamed(budget, 60, 'first', granted);
  reserveNamed(budget, 60, 'second', granted);
  reserveNamed(budget, 10, 'third', granted);
  expect(granted).toEqual(['first']);
  endFirst();
  expect(granted).toEqual(['first', 'second', 'third']);
  expect(budget.reservedBytes).toBe(70);
});

test('one that leaves the queue lets those behind it in', () => {
  const budget = new ByteBudget(100);
  const granted: string[] = [];
  reserveNamed(budget, 60, 'first', granted);
  const leave = reserveNamed(budget, 60, 'second', granted);
  reserveNamed(budget, 30, 'third', granted);
  leave();
  expect(granted).toEqual(['first', 'third']);
});

test('giving back twice counts once', () => {
  const budget = new ByteBudget(100);
  const end = budget.reserve(40, () => undefined);
  end();
  end();
  expect(budget.reservedBytes).toBe(0);
});

test('more than there is at all is granted when nothing else is held', () => {
  const budget = new ByteBudget(100);
  const granted: string[] = [];
  reserveNamed(budget, 500, 'huge', granted);
  expect(granted).toEqual(['huge']);
  expect(budget.reservedBytes).toBe(100);
});
