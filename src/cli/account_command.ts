/** `cyclamenlever account`: which requests were lost or late, from the hosts' logs. */

import {Command, Option} from 'clipanion';
import type {Account, Ending} from '../account/index.js';
import {buildAccount} from '../account/index.js';
import type {Table} from '../queries/index.js';
import {EXIT} from './base_command.js';
import {customerToJson} from './customers_command.js';
import {describeSkippedRows, readLogFiles} from './log_files.js';
import {formatTable} from './format_table.js';

const EXIT_NO_REQUESTS = 2;
const ENDINGS: readonly Ending[] = [
  'in time',
  'late',
  'refused',
  'failed',
  'left',
];

export class AccountCommand extends Command {
  static override paths = [['account']];
  static override usage = Command.Usage({
    description: 'reports where requests were lost or late, and why',
    details:
      'Reads log files of entry hosts and counts callers’ requests by route, ' +
      'cause, second and slots in use, and refusals by customer. Exits with 1 if a file can’t be read ' +
      'and with 2 if no line is about a request.',
    examples: [['Account for a day', '$0 account entry-*.log']],
  });

  readonly json = Option.Boolean('--json', false, {
    description: 'print JSON for programs',
  });
  readonly files = Option.Rest({required: 1, name: 'log files'});

  override async execute(): Promise<number> {
    const read = await readLogFiles(this.files);
    if (read.isErr()) {
      this.context.stderr.write(`${read.error.message}\n`);
      return EXIT.usage;
    }
    const texts = read.value;
    const account = buildAccount(texts.flatMap(({lines}) => lines));
    if (account.attempts === 0) {
      this.context.stderr.write(
        'no line is about a request: name the standard output of entry hosts\n',
      );
      return EXIT_NO_REQUESTS;
    }
    const text = this.json ? toJson(account) : toText(account);
    this.context.stdout.write(
      `${text}\n${this.json ? '' : describeSkippedRows(texts)}`,
    );
    return EXIT.ok;
  }
}

function toJson(account: Account): string {
  return JSON.stringify({
    ...account,
    routes: account.routes.map(route => ({
      ...route,
      causes: Object.fromEntries(route.causes),
    })),
    customers: account.customers.map(customerToJson),
  });
}

function toText(account: Account): string {
  const {attempts, probes, loadAgeMs, outOfOrder} = account;
  const perRequest = (probes / attempts).toFixed(2);
  return [
    `${attempts} requests; ${probes} probes, ${perRequest} per ` +
      `request; known load at an attempt was ${formatNumber(loadAgeMs)} ms old in the ` +
      `median; ${outOfOrder} lines out of order`,
    formatTable(routeTable(account)),
    formatTable(causeTable(account)),
    ...(account.customers.length > 0
      ? [formatTable(refusalTable(account))]
      : []),
    formatTable(secondTable(account)),
    formatTable(occupancyTable(account)),
  ].join('\n\n');
}

function routeTable({routes}: Account): Table {
  return {
    columns: ['route', ...ENDINGS],
    rows: routes.map(({route, endings}) => [
      route,
      ...ENDINGS.map(ending => String(endings[ending])),
    ]),
  };
}

function causeTable({routes}: Account): Table {
  return {
    columns: ['route', 'cause', 'attempts'],
    rows: routes.flatMap(({route, causes}) =>
      [...causes]
        .sort(([, a], [, b]) => b - a)
        .map(([cause, count]) => [route, cause, String(count)]),
    ),
  };
}

function refusalTable({customers}: Account): Table {
  return {
    columns: ['customer', 'requests', 'cause', 'refusals'],
    rows: customers.flatMap(({customer, requests, refusals}) =>
      [...refusals]
        .sort(([, a], [, b]) => b - a)
        .map(([cause, count]) => [
          customer ?? '-',
          String(requests),
          cause,
          String(count),
        ]),
    ),
  };
}

function secondTable({seconds}: Account): Table {
  return {
    columns: ['second', ...ENDINGS, 'free slots while refusing', 'probes'],
    rows: seconds.map(one => [
      String(one.second),
      ...ENDINGS.map(ending => String(one.endings[ending])),
      formatNumber(one.freeSlotsWhileRefusing),
      String(one.probes),
    ]),
  };
}

function occupancyTable({occupancies}: Account): Table {
  return {
    columns: ['running before', 'sends', 'median ms', 'median ms if slow'],
    rows: occupancies.map(one => [
      String(one.running),
      String(one.sends),
      formatNumber(one.medianMs),
      formatNumber(one.slowMedianMs),
    ]),
  };
}

function formatNumber(figure: number | undefined): string {
  return figure === undefined ? '-' : figure.toFixed(1);
}
