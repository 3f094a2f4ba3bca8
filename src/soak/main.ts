#!/usr/bin/env node
/** Runs seeded fault injection tests against real host processes. */

import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Builtins, Cli, Command, Option} from 'clipanion';
import {REGRESSIONS} from './regressions.js';
import type {RunPlan} from './run.js';
import {FAULTS_ONLY, runOnce} from './run.js';
import type {RunReport} from './types.js';

const EXIT = {clean: 0, findings: 1, stopped: 2} as const;
const SECOND_MS = 1_000;

class SoakCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description:
      'runs seeded fault injection tests against real host processes',
    details:
      'Prints one line per seed and each violated guarantee; exits with 1 if there are any.',
  });

  readonly seeds = Option.String('--seeds', '10', {
    description: 'number of seeds; 0 runs only the regressions',
  });
  readonly from = Option.String('--from', '1', {description: 'first seed'});
  readonly regressions = Option.Boolean('--regressions', false, {
    description: 'also runs the seeds that have failed before',
  });
  readonly hosts = Option.String('--hosts', '5');
  readonly upstreams = Option.String('--upstreams', '6');
  readonly callers = Option.String('--callers', '20');
  readonly faults = Option.String('--faults', '14');
  readonly drills = Option.String('--drills', '3', {
    description:
      'number of evacuations, losses of the store’s records and cold phases of upstreams; regressions keep their plans',
  });
  readonly lostReads = Option.String('--lost-reads', '1', {
    description:
      'number of periods in which one host’s reads of a topic get no response; regressions keep their plans',
  });
  readonly announcements = Option.String('--announcements', '2', {
    description:
      'number of rate limits, refusals with Retry-After and departures that upstreams announce',
  });
  readonly customers = Option.String('--customers', '0', {
    description:
      'number of drills with customers: keys replaced, quotas lowered, load beyond quotas and capacity; 0 leaves customers out',
  });
  readonly storeOddities = Option.String('--store-oddities', '1', {
    description:
      'number of periods with pages of the store cut off or unknown entries in configurations; regressions keep their plans',
  });
  readonly pathCuts = Option.String('--path-cuts', '1', {
    description:
      'number of periods in which hosts are cut off from all or some upstreams; regressions keep their plans',
  });
  readonly links = Option.String('--links', '0', {
    description:
      'number of drills with hosts behind narrow links, large requests and responses, and slow readers; 0 leaves links out',
  });
  readonly seconds = Option.String('--seconds', '8', {
    description: 'time within which faults and drills begin',
  });
  readonly harmful = Option.Boolean('--harmful', true, {
    description:
      'sends a request that crashes each upstream that executes it; regressions keep their plans',
  });
  readonly jobs = Option.String('--jobs', '2', {
    description: 'number of concurrent runs',
  });
  readonly logs = Option.String('--logs', {
    description: 'folder for the hosts’ logs; a new temporary one by default',
  });

  override async execute(): Promise<number> {
    const logFolder = this.logs ?? mkdtempSync(join(tmpdir(), 'soak-'));
    const plans = this.buildPlans(logFolder);
    const reports: RunReport[] = [];
    const next = async (): Promise<void> => {
      for (let plan = plans.shift(); plan; plan = plans.shift()) {
        const report = await runOnce(plan);
        reports.push(report);
        this.print(report);
      }
    };
    await Promise.all(Array.from({length: Number(this.jobs)}, next));
    return this.summarize(reports);
  }

  private buildPlans(logFolder: string): RunPlan[] {
    const first = Number(this.from);
    const count = Number(this.seeds);
    const known = this.regressions ? REGRESSIONS : [];
    return [
      ...known.map(({seed, plan}) => ({
        ...this.buildPlan(seed, logFolder),
        ...FAULTS_ONLY,
        ...plan,
      })),
      ...Array.from({length: count}, (_, index) =>
        this.buildPlan(first + index, logFolder),
      ),
    ];
  }

  private buildPlan(seed: number, logFolder: string): RunPlan {
    return {
      seed,
      logFolder,
      hosts: Number(this.hosts),
      upstreams: Number(this.upstreams),
      callers: Number(this.callers),
      faults: Number(this.faults),
      harmful: this.harmful,
      drills: Number(this.drills),
      lostReads: Number(this.lostReads),
      announcements: Number(this.announcements),
      customers: Number(this.customers),
      storeOddities: Number(this.storeOddities),
      pathCuts: Number(this.pathCuts),
      links: Number(this.links),
      faultPhaseMs: Number(this.seconds) * SECOND_MS,
    };
  }

  private print(report: RunReport): void {
    const {seed, requests, served, findings, logFolder} = report;
    const share = (served / Math.max(1, requests)).toFixed(3);
    this.context.stdout.write(
      `seed ${seed}: ${requests} requests, ${share} served, ` +
        `${findings.length} findings\n`,
    );
    for (const {guarantee, detail} of findings) {
      this.context.stdout.write(`  ${guarantee}: ${detail} (${logFolder})\n`);
    }
  }

  private summarize(reports: readonly RunReport[]): number {
    const faults = new Map<string, number>();
    let requests = 0;
    let findings = 0;
    for (const report of reports) {
      requests += report.requests;
      findings += report.findings.length;
      for (const [kind, count] of Object.entries(report.faults)) {
        faults.set(kind, (faults.get(kind) ?? 0) + count);
      }
    }
    const kinds = [...faults].map(([kind, count]) => `${kind} ${count}`);
    this.context.stdout.write(
      `${reports.length} runs, ${requests} requests, ${findings} findings; ` +
        `faults: ${kinds.sort().join(', ')}\n`,
    );
    return findings > 0 ? EXIT.findings : EXIT.clean;
  }
}

process.once('SIGTERM', () => process.exit(EXIT.stopped));
process.once('SIGINT', () => process.exit(EXIT.stopped));
process.setMaxListeners(0);

const cli = new Cli({
  binaryName: 'soak',
  binaryLabel: 'Fault soak',
  binaryVersion: '0.1.0',
});
cli.register(SoakCommand);
cli.register(Builtins.HelpCommand);
// Without an explicit exit, Node 20 may spin forever after the summary while it
// closes handles left over from the host processes.
process.exit(await cli.run(process.argv.slice(2)));
