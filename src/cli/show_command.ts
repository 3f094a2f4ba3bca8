import {Command, Option} from 'clipanion';
import type {ControlClient} from '../control/index.js';
import {BaseCommand, EXIT} from './base_command.js';
import {formatTable} from './format_table.js';

export class ShowCommand extends BaseCommand {
  static override paths = [['show']];
  static override usage = Command.Usage({
    description: 'ask what is running and where',
    examples: [
      ['All services', 'cyclamenlever show services'],
      [
        'Draining upstreams in a data centre',
        'cyclamenlever show upstreams of listings in galway-east where draining',
      ],
    ],
  });
  readonly words = Option.Rest();

  protected override async run(client: ControlClient): Promise<number> {
    const text = `show ${this.words.join(' ')}`;
    const report = await client.query.query(text);
    if (report.kind === 'failed') {
      this.fail(report.error.message);
      return EXIT.usage;
    }
    const {unanswered} = report;
    const missing =
      unanswered.length > 0 ? `\ndid not answer: ${unanswered.join(', ')}` : '';
    this.print(report, `${formatTable(report.table)}${missing}`);
    return EXIT.ok;
  }
}
