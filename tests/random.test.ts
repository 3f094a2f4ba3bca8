import {expect, test} from 'vitest';
import {seededRandom} from '../src/time/index.js';

test('first draws of neighbouring seeds are spread', () => {
  // The quick start's first eight requests took 180 ms each: seeds 1 to 4
  // drew nearly 1 first, which an exponential service time turns into its
  // longest.
  const draws = Array.from({length: 100}, (_, seed) => seededRandom(seed)());
  const mean = draws.reduce((sum, draw) => sum + draw, 0) / draws.length;
  expect(mean).toBeGreaterThan(0.35);
  expect(mean).toBeLessThan(0.65);
  expect(Math.max(...draws)).toBeLessThan(0.9999);
});
