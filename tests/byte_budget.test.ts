import {expect, test} from 'vitest';
import {ByteBudget} from '../src/decisions/limits/index.js';

function takeNamed(
  budget: ByteBudget,
  bytes: number,
  name: string,
  granted: string[],
): () => void {
  return budget.take(bytes, () => granted.push(name));
}

test('what fits is granted at once, the rest in the order it came', () => {
  const budget = new ByteBudget(100);
  const granted: string[] = [];
  const endFirst = takeNamed(budget, 60, 'first', granted);
  takeNamed(budget, 60, 'second', granted);
  takeNamed(budget, 10, 'third', granted);
  expect(granted).toEqual(['first']);
  endFirst();
  expect(granted).toEqual(['first', 'second', 'third']);
  expect(budget.takenBytes).toBe(70);
});

test('one that leaves the queue lets those behind it in', () => {
  const budget = new ByteBudget(100);
  const granted: string[] = [];
  takeNamed(budget, 60, 'first', granted);
  const leave = takeNamed(budget, 60, 'second', granted);
  takeNamed(budget, 30, 'third', granted);
  leave();
  expect(granted).toEqual(['first', 'third']);
});

test('giving back twice counts once', () => {
  const budget = new ByteBudget(100);
  const end = budget.take(40, () => undefined);
  end();
  end();
  expect(budget.takenBytes).toBe(0);
});

test('more than there is at all is granted when nothing else is held', () => {
  const budget = new ByteBudget(100);
  const granted: string[] = [];
  takeNamed(budget, 500, 'huge', granted);
  expect(granted).toEqual(['huge']);
  expect(budget.takenBytes).toBe(100);
});
