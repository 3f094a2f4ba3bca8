/** `cyclamenlever explain`: a request's way, from the hosts' logs. */

import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import type {LocatedLine} from '../explain/index.js';
import {explain, readLines} from '../explain/index.js';
import {EXIT} from './base_command.js';

export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'tells the way of one request in plain words',
    details:
      'Reads log files of entry hosts; a time or a host’s name may stand ' +
      'before each line. Exits with 1 if a file can’t be read or no line ' +
      'names the request.',
    examples: [
      ['Explain a request', '$0 explain 7879ef5a6d11ec7f entry-*.log'],
    ],
  });

  readonly request = Option.String({name: 'request id'});
  readonly files = Option.Rest({required: 1, name: 'log files'});

  override async execute(): Promise<number> {
    const lines: LocatedLine[] = [];
    for (const file of this.files) {
      try {
        lines.push(...readLines(await readFile(file, 'utf8')));
      } catch (error) {
        this.context.stderr.write(`cannot read ${file}: ${String(error)}\n`);
        return EXIT.usage;
      }
    }
    const told = explain(this.request, lines);
    if (told === undefined) {
      this.context.stderr.write(
        `no line names request ${this.request}: lines about requests that ` +
          'went well may be left out; search more hosts\n',
      );
      return EXIT.usage;
    }
    this.context.stdout.write(`${told}\n`);
    return EXIT.ok;
  }
}
