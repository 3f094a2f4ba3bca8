/** Compares policies on emulated scenarios: `npm run experiment -- FILE...`. */

import {writeFile} from 'node:fs/promises';
import {basename} from 'node:path';
import {Cli, Command, Option} from 'clipanion';
import {readScenario} from '../emulator/index.js';
import {compare} from './compare.js';
import {plotCredit} from './plot.js';
import {runAll} from './runner.js';
import {ABLATIONS, DEFAULT_POLICY, readPolicy} from './policies.js';
import type {Comparison, PolicyChoice} from './types.js';

const EXIT_OK = 0;
const EXIT_USAGE = 2;
const DIGITS = 3;
/** Unknown outcomes are rare. */
const UNKNOWN_DIGITS = 5;

class ExperimentCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'runs scenarios with several policies and the same seeds',
    details:
      'The first policy is the default of hosts; gains are relative to it. Exits with 2 ' +
      'if a scenario or a policy can’t be read.',
    examples: [
      [
        'The gain of sharing load reports between hosts',
        '$0 scenarios/artists_overload.toml --policy sharesView=false',
      ],
      [
        'Each mechanism disabled in turn',
        '$0 scenarios/artists_calm.toml --ablate',
      ],
    ],
  });

  readonly policies = Option.Array('--policy', [], {
    description:
      'options that differ from the default, name=value,...; repeatable',
  });
  readonly seeds = Option.String('--seeds', '5', {
    description: 'runs of each scenario and policy',
  });
  readonly ablate = Option.Boolean('--ablate', false, {
    description: 'also run with each mechanism disabled in turn',
  });
  readonly json = Option.Boolean('--json', false, {
    description: 'print JSON',
  });
  readonly plot = Option.String('--plot', {
    description: 'write an SVG of the credit by second to this file',
  });
  readonly files = Option.Rest({required: 1, name: 'scenario files'});

  override async execute(): Promise<number> {
    const policies = this.readPolicies();
    const seeds = Number(this.seeds);
    if (!policies || !this.canRead(this.files)) {
      return EXIT_USAGE;
    }
    if (!Number.isInteger(seeds) || seeds < 1) {
      return this.fail('--seeds: must be an integer of at least 1');
    }
    const runs = this.files.flatMap(file =>
      policies.flatMap(policy =>
        Array.from({length: seeds}, (_, index) => ({
          file,
          policy,
          seed: index + 1,
        })),
      ),
    );
    const results = await runAll(runs, finished => {
      this.context.stderr.write(
        `\r${finished} of ${runs.length} runs finished`,
      );
    });
    this.context.stderr.write('\n');
    const comparisons = compare(results);
    this.context.stdout.write(
      this.json ? `${JSON.stringify(comparisons)}\n` : tableOf(comparisons),
    );
    if (this.plot !== undefined) {
      await writeFile(this.plot, await plotCredit(results));
    }
    return EXIT_OK;
  }

  private readPolicies(): readonly PolicyChoice[] | undefined {
    const choices = [DEFAULT_POLICY];
    for (const text of this.policies) {
      const policy = readPolicy(text);
      if (policy.isErr()) {
        this.fail(policy.error.message);
        return undefined;
      }
      choices.push(policy.value);
    }
    return this.ablate ? [...choices, ...ABLATIONS] : choices;
  }

  private canRead(files: readonly string[]): boolean {
    for (const file of files) {
      const scenario = readScenario(file);
      if (scenario.isErr()) {
        this.fail(scenario.error.message);
        return false;
      }
    }
    return true;
  }

  private fail(message: string): number {
    this.context.stderr.write(`experiment: ${message}\n`);
    return EXIT_USAGE;
  }
}

function tableOf(comparisons: readonly Comparison[]): string {
  const rows = comparisons.map(one => [
    basename(one.scenario, '.toml'),
    one.policy,
    formatFigure(one.worth),
    formatFigure(one.inTime),
    formatFigure(one.late),
    formatFigure(one.served),
    formatFigure(one.worstWindows),
    formatFigure(one.probesPerRequest),
    formatFigure(one.farSendsPerRequest),
    one.unknown.toFixed(UNKNOWN_DIGITS),
    formatFigure(one.gain),
    one.interval.map(formatFigure).join(' to '),
  ]);
  const head = [
    'scenario',
    'policy',
    'worth',
    'in time',
    'late',
    'served',
    'worst windows',
    'probes a request',
    'far sends a request',
    'unknown',
    'gain',
    '95% of medians',
  ];
  return [head, head.map(() => '---'), ...rows]
    .map(cells => `| ${cells.join(' | ')} |\n`)
    .join('');
}

function formatFigure(figure: number): string {
  return figure.toFixed(DIGITS);
}

const cli = new Cli({binaryName: 'experiment'});
cli.register(ExperimentCommand);
await cli.runExit(process.argv.slice(2));
