import {expect, test} from 'vitest';
import {seededRandom} from '../src/time/index.js';

test('the first numbers of consecutive seeds are spread out', () => {
  // Guards against first draws of nearly 1 for seeds 1 to 4. An exponential
  // service time is longest there: the first eight requests of the quick start
  // took 180 ms each.
  const firstDraws = Array.from({length: 100}, (_, seed) =>
    seededRandom(seed)(),
  );
  const mean =
    firstDraws.reduce((sum, draw) => sum + draw, 0) / firstDraws.length;
  expect(mean).toBeGreaterThan(0.35);
  expect(mean).toBeLessThan(0.65);
  expect(Math.max(...firstDraws)).toBeLessThan(0.9999);
});
