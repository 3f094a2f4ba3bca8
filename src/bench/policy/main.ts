/** Compares policies: `npm run --silent bench:policy -- --json`. */

import {writeFile} from 'node:fs/promises';
import {parseArgs} from 'node:util';
import * as baselines from './baselines.js';
import {cyclamenlever} from './cyclamenlever.js';
import {plotPolicies} from './plot.js';
import type {Scenario} from './scenarios.js';
import {SCENARIOS} from './scenarios.js';
import type {Figures, PolicyFactory} from './simulation.js';
import {Simulation} from './simulation.js';

const POLICIES: Readonly<Record<string, PolicyFactory>> = {
  random: baselines.random,
  roundrobin: baselines.roundRobin,
  leastinflight: baselines.leastInFlight,
  oracle: baselines.oracle,
  cyclamenlever: cyclamenlever(),
};
const ABLATIONS: Readonly<Record<string, PolicyFactory>> = {
  hedged: cyclamenlever({hedgeRatio: 0.1}),
  'probes-5': cyclamenlever({probes: 5}),
  'probes-20': cyclamenlever({probes: 20}),
  'probes-100': cyclamenlever({probes: 100}),
  'no-homes': cyclamenlever({homes: false}),
  'no-late-binding': cyclamenlever({routing: {lateBinding: false}}),
  'no-rates': cyclamenlever({routing: {rates: false}}),
  'no-reports': cyclamenlever({routing: {reports: false}}),
  'no-patience': cyclamenlever({routing: {waitForFasterSlot: false}}),
};

interface Row extends Figures {
  readonly scenario: string;
  readonly policy: string;
  readonly seeds: number;
  /** Lowest and highest over the seeds. */
  readonly p99Spread: readonly [number, number];
}

const {values: options} = parseArgs({
  options: {
    json: {type: 'boolean', default: false},
    seeds: {type: 'string', default: '3'},
    seconds: {type: 'string', default: '10'},
    only: {type: 'string', default: ''},
    ablation: {type: 'boolean', default: false},
    plot: {type: 'string', default: ''},
  },
});

function runPolicy(
  scenario: Scenario,
  name: string,
  create: PolicyFactory,
): Row {
  const seeds = Number(options.seeds);
  const runs = Array.from({length: seeds}, (_, seed) =>
    new Simulation(scenario, seed + 1, Number(options.seconds) * 1000).run(
      create,
    ),
  );
  const mean = (read: (figures: Figures) => number): number =>
    Number((runs.reduce((sum, run) => sum + read(run), 0) / seeds).toFixed(4));
  const p99s = runs.map(run => run.p99Ms);
  return {
    scenario: scenario.name,
    policy: name,
    seeds,
    p50Ms: mean(run => run.p50Ms),
    p99Ms: mean(run => run.p99Ms),
    p999Ms: mean(run => run.p999Ms),
    p99Spread: [Math.min(...p99s), Math.max(...p99s)],
    goodput: mean(run => run.goodput),
    promptGoodput: mean(run => run.promptGoodput),
    attemptsPerRequest: mean(run => run.attemptsPerRequest),
    probesPerServerSecond: mean(run => run.probesPerServerSecond),
    measureShare: mean(run => run.measureShare),
  };
}

function gapClosed(rows: readonly Row[], row: Row): string {
  const find = (policy: string): Row | undefined =>
    rows.find(one => one.scenario === row.scenario && one.policy === policy);
  const far = find('leastinflight');
  const near = find('oracle');
  if (!far || !near) {
    return '';
  }
  const share = (read: (one: Row) => number): string =>
    ((read(far) - read(row)) / (read(far) - read(near))).toFixed(2);
  return `${share(one => one.p50Ms)}/${share(one => one.p99Ms)}`;
}

async function main(): Promise<void> {
  const policies = options.ablation ? {...POLICIES, ...ABLATIONS} : POLICIES;
  const rows: Row[] = [];
  const wanted = SCENARIOS.filter(({name}) => name.includes(options.only));
  for (const scenario of wanted) {
    for (const [name, create] of Object.entries(policies)) {
      const row = runPolicy(scenario, name, create);
      rows.push(row);
      if (!options.json) {
        process.stdout.write(
          `${scenario.name.padEnd(28)} ${name.padEnd(16)} p50 ${row.p50Ms.toFixed(1).padStart(7)} p99 ${row.p99Ms.toFixed(1).padStart(7)} p99.9 ${row.p999Ms.toFixed(1).padStart(7)} goodput ${row.goodput.toFixed(3)} prompt ${row.promptGoodput.toFixed(3)} attempts ${row.attemptsPerRequest.toFixed(3)} closed ${gapClosed(rows, row)}\n`,
        );
      }
    }
  }
  if (options.json) {
    process.stdout.write(`${JSON.stringify(rows, null, 1)}\n`);
  }
  if (options.plot) {
    await writeFile(options.plot, await plotPolicies(rows));
  }
}

await main();
