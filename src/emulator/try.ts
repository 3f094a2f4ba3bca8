import {DEFAULT_OPTIONS} from '../decisions/options/index.js';
import {emulate} from './emulate.js';
import {readScenario} from './scenario.js';
import {mean} from 'd3-array';
const [seeds = '3', file = '', ...variants] = process.argv.slice(2);
const scenario = readScenario(file)._unsafeUnwrap();
for (const variant of ['{}', ...variants]) {
  const t0 = performance.now();
  const outs = Array.from({length: Number(seeds)}, (_, s) =>
    emulate(scenario, s + 1, {
      ...DEFAULT_OPTIONS,
      ...(JSON.parse(variant) as object),
    }),
  );
  const m = (k: string): string =>
    (mean(outs, o => (o as unknown as Record<string, number>)[k]) ?? 0).toFixed(
      3,
    );
  console.log(
    [
      'worth',
      'day',
      'worstWindows',
      'served',
      'worstKind',
      'prices',
      'inTime',
      'late',
      'probesPerRequest',
    ]
      .map(k => `${k} ${m(k)}`)
      .join('  '),
    variant,
    `${((performance.now() - t0) / 1000).toFixed(1)}s`,
  );
}
