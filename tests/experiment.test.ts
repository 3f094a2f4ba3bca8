import {expect, test} from 'vitest';
import {DEFAULT_OPTIONS} from '../src/decisions/options/index.js';
import type {Outcome} from '../src/emulator/index.js';
import {compare} from '../src/experiment/compare.js';
import type {ExperimentResult} from '../src/experiment/types.js';

function resultOf(
  policy: string,
  seed: number,
  worth: number,
): ExperimentResult {
  const outcome: Outcome = {
    seed,
    worth,
    day: worth,
    worstWindows: worth,
    served: 1,
    worstKind: worth,
    prices: 0,
    probesPerRequest: 2,
    farSendsPerRequest: 0,
    unknown: 0,
    inTime: worth,
    late: 0,
    creditBySecond: [worth],
  };
  const choice = {name: policy, options: DEFAULT_OPTIONS};
  return {run: {file: 'f.toml', policy: choice, seed}, outcome};
}

test('gains are per-seed differences to the first policy', () => {
  const results = [1, 2, 3, 4, 5].flatMap(seed => [
    resultOf('hosts', seed, seed / 10),
    resultOf('other', seed, seed / 10 + 0.02),
  ]);
  const [hosts, other] = compare(results);
  expect(hosts).toMatchObject({policy: 'hosts', gain: 0, interval: [0, 0]});
  expect(other?.gain).toBeCloseTo(0.02);
  expect(other?.interval[0]).toBeCloseTo(0.02);
  expect(other?.interval[1]).toBeCloseTo(0.02);
});

test('gains that vary between seeds widen the interval', () => {
  const gains = [-0.1, 0.05, 0.02, 0.1, -0.02];
  const results = gains.flatMap((gain, seed) => [
    resultOf('hosts', seed, 0.5),
    resultOf('other', seed, 0.5 + gain),
  ]);
  const other = compare(results)[1];
  expect(other?.gain).toBeCloseTo(0.02);
  expect(other?.interval[0]).toBeLessThan(0);
  expect(other?.interval[1]).toBeGreaterThan(0.05);
});
