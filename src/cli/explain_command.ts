/** `cyclamenlever explain`: how a request was handled, from the hosts' logs. */

import {Command, Option} from 'clipanion';
import {explain} from '../explain/index.js';
import {EXIT} from './base_command.js';
import {readLogFiles} from './log_files.js';

export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'explains how one request was handled',
    details:
      'Reads log files of entry hosts; a time or a host’s name may precede ' +
      'each line. Exits with 1 if a file can’t be read or no line ' +
      'names the request.',
    examples: [
      ['Explain a request', '$0 explain 7879ef5a6d11ec7f entry-*.log'],
    ],
  });

  readonly request = Option.String({name: 'request id'});
  readonly files = Option.Rest({required: 1, name: 'log files'});

  override async execute(): Promise<number> {
    const read = await readLogFiles(this.files);
    if (read.isErr()) {
      this.context.stderr.write(`${read.error.message}\n`);
      return EXIT.usage;
    }
    const lines = read.value.flatMap(text => text.lines);
    const explanation = explain(this.request, lines);
    if (explanation === undefined) {
      this.context.stderr.write(
        `no line names request ${this.request}: lines about successful ` +
          'requests may be dropped; search the logs of more hosts\n',
      );
      return EXIT.usage;
    }
    this.context.stdout.write(`${explanation}\n`);
    return EXIT.ok;
  }
}
