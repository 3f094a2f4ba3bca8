/** `cyclamenlever customers`: use and refusals by customer, from the hosts' logs. */

import {basename} from 'node:path';
import {Command, Option} from 'clipanion';
import type {Cause, CustomerUse} from '../account/index.js';
import {CustomerTally, hostOf} from '../account/index.js';
import type {Table} from '../queries/index.js';
import {EXIT} from './base_command.js';
import {formatTable} from './format_table.js';
import {describeSkippedRows, scanLogFiles} from './log_files.js';

const EXIT_NO_CUSTOMERS = 2;
/** Hosts that the text names for each customer; JSON has all. */
const MAX_HOSTS_SHOWN = 3;

interface SkippedRows {
  readonly truncatedRows: number;
  readonly foreignRows: number;
}

export class CustomersCommand extends Command {
  static override paths = [['customers']];
  static override usage = Command.Usage({
    description: 'reports requests and refusals by customer',
    details:
      'Reads log files of entry hosts, of any size, and counts each customer’s ' +
      'requests by ending, cause of refusal and host. A host is named by the word ' +
      'before its lines, or else by its file. Exits with 1 if a file can’t be read ' +
      'and with 2 if no line names a customer.',
    examples: [['Show the customers of a day', '$0 customers entry-*.log']],
  });

  readonly json = Option.Boolean('--json', false, {
    description: 'print JSON for programs',
  });
  readonly files = Option.Rest({required: 1, name: 'log files'});

  override async execute(): Promise<number> {
    const tally = new CustomerTally();
    const skipped = {truncatedRows: 0, foreignRows: 0};
    const scanned = await scanLogFiles(this.files, (file, block) => {
      const fallback = basename(file, '.log');
      for (const {line, origin} of block.lines) {
        tally.add(line, hostOf(origin, fallback));
      }
      skipped.truncatedRows += block.truncatedRows;
      skipped.foreignRows += block.foreignRows;
    });
    if (scanned.isErr()) {
      this.context.stderr.write(`${scanned.error.message}\n`);
      return EXIT.usage;
    }
    if (tally.customers.length === 0) {
      this.context.stderr.write(
        'no line names a customer: name the standard output of entry hosts ' +
          'whose configuration has customers\n',
      );
      return EXIT_NO_CUSTOMERS;
    }
    this.context.stdout.write(
      this.json ? toJson(tally, skipped) : toText(tally, skipped),
    );
    return EXIT.ok;
  }
}

/** The customer is null for requests without a valid key. */
export function customerToJson(use: CustomerUse): object {
  return {
    ...use,
    customer: use.customer ?? null,
    refusals: Object.fromEntries(use.refusals),
    hosts: Object.fromEntries(use.hosts),
  };
}

function toJson(
  {customers, dropped}: CustomerTally,
  skipped: SkippedRows,
): string {
  const all = customers.map(customerToJson);
  return `${JSON.stringify({customers: all, droppedLines: dropped, ...skipped})}\n`;
}

function toText(
  {customers, dropped}: CustomerTally,
  skipped: SkippedRows,
): string {
  return [
    formatTable(customerTable(customers)),
    '',
    `hosts left out ${dropped} lines to bound their number; most would tell of ` +
      'requests that were served and are not counted here',
    describeSkippedRows([skipped]),
  ].join('\n');
}

function customerTable(customers: readonly CustomerUse[]): Table {
  const causes = [
    ...new Set(customers.flatMap(({refusals}) => [...refusals.keys()])),
  ];
  return {
    columns: [
      'customer',
      'requests',
      'in time',
      'late',
      'failed',
      'left',
      ...causes,
      'hosts',
    ],
    rows: customers.map(use => customerRow(use, causes)),
  };
}

function customerRow(
  {customer, requests, endings, refusals, hosts}: CustomerUse,
  causes: readonly Cause[],
): readonly string[] {
  const counts = [
    requests,
    endings['in time'],
    endings.late,
    endings.failed,
    endings.left,
    ...causes.map(cause => refusals.get(cause) ?? 0),
  ];
  return [customer ?? '-', ...counts.map(String), describeHosts(hosts)];
}

function describeHosts(hosts: ReadonlyMap<string, number>): string {
  const shown = [...hosts]
    .slice(0, MAX_HOSTS_SHOWN)
    .map(([host, count]) => `${host} ${count}`);
  const more = hosts.size - shown.length;
  return [...shown, ...(more > 0 ? [`${more} more`] : [])].join(', ');
}
