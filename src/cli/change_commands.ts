/** Subcommands that change the configuration. */

import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import type {ChangeReport, ControlClient} from '../control/index.js';
import {BaseCommand, EXIT, currentUser} from './base_command.js';
import {reportChange} from './report_change.js';

abstract class ChangeCommand extends BaseCommand {
  readonly note = Option.String('--note', '', {
    description: 'why, for the history',
  });

  protected printReport(report: ChangeReport): number {
    const {exit, text} = reportChange(report);
    if (report.kind === 'failed') {
      this.fail(text);
    } else {
      this.print(report, text);
    }
    return exit;
  }
}

export class RunCommand extends ChangeCommand {
  static override paths = [['run']];
  static override usage = Command.Usage({
    description: 'perform commands as one atomic change',
    examples: [
      [
        'Drain an upstream',
        "cyclamenlever run 'drain upstream lst-1 of listings'",
      ],
    ],
  });
  readonly words = Option.Rest({required: 1});

  protected override async run(client: ControlClient): Promise<number> {
    const text = this.words.join(' ');
    return this.printReport(
      await client.change.mutate({
        text,
        author: currentUser(),
        note: this.note,
        declaration: false,
      }),
    );
  }
}

export class ApplyCommand extends ChangeCommand {
  static override paths = [['apply']];
  static override usage = Command.Usage({
    description: 'make the services in a declaration file as it says',
  });
  readonly file = Option.String();

  protected override async run(client: ControlClient): Promise<number> {
    const text = await readFile(this.file, 'utf8');
    return this.printReport(
      await client.change.mutate({
        text,
        author: currentUser(),
        note: this.note || `apply ${this.file}`,
        declaration: true,
      }),
    );
  }
}

export class PlanCommand extends BaseCommand {
  static override paths = [['plan']];
  static override usage = Command.Usage({
    description: 'say what apply would change',
  });
  readonly file = Option.String();

  protected override async run(client: ControlClient): Promise<number> {
    const text = await readFile(this.file, 'utf8');
    const report = await client.plan.query({
      text,
      author: currentUser(),
      note: '',
      declaration: true,
    });
    if (report.kind === 'failed') {
      this.fail(report.error.message);
      return EXIT.usage;
    }
    const lines = report.writes.map(({key, value}) =>
      value === null ? `- ${key}` : `~ ${key} ${JSON.stringify(value)}`,
    );
    this.print(report, lines.join('\n') || 'nothing to change');
    return EXIT.ok;
  }
}

export class RollbackCommand extends ChangeCommand {
  static override paths = [['rollback']];
  static override usage = Command.Usage({
    description: 'undo an accepted change by a new one',
  });
  readonly id = Option.String();

  protected override async run(client: ControlClient): Promise<number> {
    return this.printReport(
      await client.rollback.mutate({id: this.id, author: currentUser()}),
    );
  }
}

export class ExportCommand extends BaseCommand {
  static override paths = [['export']];
  static override usage = Command.Usage({
    description: 'print the configuration in force as a declaration file',
  });

  protected override async run(client: ControlClient): Promise<number> {
    const text = await client.exportDeclaration.query();
    this.print({text}, text);
    return EXIT.ok;
  }
}

export class HistoryCommand extends BaseCommand {
  static override paths = [['history']];
  static override usage = Command.Usage({
    description: 'list the changes judged lately',
  });

  protected override run(): Promise<number> {
    return this.cli.run(
      [
        'show',
        'changes',
        ...(this.host ? ['--host', this.host] : []),
        ...(this.key ? ['--key', this.key] : []),
        ...(this.json ? ['--json'] : []),
      ],
      this.context,
    );
  }
}
