/** `cyclamenlever quarantine`: requests that are held back, and their release. */

import {Command, Option} from 'clipanion';
import type {CrashRecord} from '../decisions/quarantine/index.js';
import {StoreClient, parseAddress} from '../platform/index.js';
import {liftQuarantine, listStored} from '../quarantine/index.js';
import {EXIT} from './base_command.js';
import {formatTable} from './format_table.js';

const MS_PER_SECOND = 1_000;

export class QuarantineCommand extends Command {
  static override paths = [['quarantine']];
  static override usage = Command.Usage({
    description:
      'lists requests under which upstreams crashed, or releases one',
    details:
      'Reads what entry hosts keep in the platform’s store. Exits with 1 if an ' +
      'argument is wrong or no such request is kept, and with 3 if the store ' +
      'can’t be reached.',
    examples: [
      ['List them', '$0 quarantine --store 10.200.1.7:8142'],
      [
        'Let one be sent again',
        '$0 quarantine --store 10.200.1.7:8142 --lift FINGERPRINT',
      ],
    ],
  });

  readonly store = Option.String('--store', {
    required: true,
    description: 'address of the platform’s store, IP:PORT',
    env: 'CYCLAMENLEVER_STORE',
  });
  readonly lift = Option.String('--lift', {
    description: 'fingerprint of a request that may be sent again',
  });
  readonly json = Option.Boolean('--json', false, {
    description: 'print JSON for programs',
  });

  override async execute(): Promise<number> {
    const address = parseAddress(this.store);
    if (!address) {
      return this.fail(EXIT.usage, `--store ${this.store}: give IP:PORT`);
    }
    const client = new StoreClient(address);
    try {
      return await this.perform(client);
    } finally {
      client.close();
    }
  }

  private async perform(client: StoreClient): Promise<number> {
    const kept = await listStored(client, Date.now());
    if (kept.isErr()) {
      return this.failToReach(kept.error.message);
    }
    if (this.lift === undefined) {
      this.context.stdout.write(`${this.formatRecords(kept.value)}\n`);
      return EXIT.ok;
    }
    const {value: records} = kept;
    if (!records.some(({fingerprint}) => fingerprint === this.lift)) {
      const message = `${this.lift} is not kept: see the list without --lift`;
      return this.fail(EXIT.usage, message);
    }
    const done = await liftQuarantine(client, this.lift, records, Date.now());
    return done.isOk() ? EXIT.ok : this.failToReach(done.error.message);
  }

  private formatRecords(records: readonly CrashRecord[]): string {
    if (this.json) {
      return JSON.stringify(records);
    }
    return formatTable({
      columns: ['fingerprint', 'last crash, s ago', 'answered, s ago', 'ended'],
      rows: records.map(({fingerprint, crashes, survivedAgeMs}) => [
        fingerprint,
        seconds(Math.min(...crashes.map(({ageMs}) => ageMs))),
        survivedAgeMs === undefined ? '-' : seconds(survivedAgeMs),
        crashes.map(({life}) => life).join(' '),
      ]),
    });
  }

  private failToReach(message: string): number {
    return this.fail(
      EXIT.unavailable,
      `the store did not answer (${message}): try again`,
    );
  }

  private fail(code: number, message: string): number {
    this.context.stderr.write(`cyclamenlever: ${message}\n`);
    return code;
  }
}

function seconds(ms: number): string {
  return (ms / MS_PER_SECOND).toFixed(0);
}
