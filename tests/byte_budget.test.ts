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

test('reservations that fit are granted at once, others in order of arrival', () => {
  const budget = new ByteBudget(100);
  const granted: string[] = [];
  const releaseFirst = reserveNamed(budget, 60, 'first', granted);
  reserveNamed(budget, 60, 'second', granted);
  reserveNamed(budget, 10, 'third', granted);
  expect(granted).toEqual(['first']);
  releaseFirst();
  expect(granted).toEqual(['first', 'second', 'third']);
  expect(budget.reservedBytes).toBe(70);
});

test('a reservation that is cancelled lets later ones proceed', () => {
  const budget = new ByteBudget(100);
  const granted: string[] = [];
  reserveNamed(budget, 60, 'first', granted);
  const cancel = reserveNamed(budget, 60, 'second', granted);
  reserveNamed(budget, 30, 'third', granted);
  cancel();
  expect(granted).toEqual(['first', 'third']);
});

test('a reservation that is released twice counts once', () => {
  const budget = new ByteBudget(100);
  const release = budget.reserve(40, () => undefined);
  release();
  release();
  expect(budget.reservedBytes).toBe(0);
});

test('a reservation beyond the budget is granted when nothing else is reserved', () => {
  const budget = new ByteBudget(100);
  const granted: string[] = [];
  reserveNamed(budget, 500, 'huge', granted);
  expect(granted).toEqual(['huge']);
  expect(budget.reservedBytes).toBe(100);
});
