#!/usr/bin/env node
/** The daemon of an entry host: `cyclamenleverd`. */

import {randomInt} from 'node:crypto';
import {pino} from 'pino';
import {Metrics} from '../metrics/index.js';
import {HttpLogService} from '../log_service/index.js';
import {SETTINGS, readSettings, variableOf} from '../settings/index.js';
import {seededRandom, systemClock} from '../time/index.js';
import {EntryHost} from './entry_host.js';

/** Node's own code for an error that nobody caught. */
const EXIT_UNCAUGHT_ERROR = 1;
const EXIT_BAD_SETTINGS = 2;

function helpText(): string {
  const lines = SETTINGS.map(({name, help, fallback}) => {
    const shown = fallback === undefined ? '' : ` [${fallback}]`;
    return `  --${name}\n      ${help}${shown}\n      ${variableOf(name)}`;
  });
  return `Usage: cyclamenleverd [flags]\n\n${lines.join('\n')}\n`;
}

async function main(): Promise<void> {
  if (process.argv.includes('--help')) {
    process.stdout.write(helpText());
    return;
  }
  const result = readSettings(process.argv.slice(2), process.env);
  if (result.isErr()) {
    process.stderr.write(`cyclamenleverd: ${result.error.message}\n`);
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  const settings = result.value;
  const logger = pino({level: settings['log-level']}).child({
    host: settings['host-id'],
  });
  const metrics = new Metrics();
  const platform = new HttpLogService(
    settings['log-url'],
    settings['host-list-url'],
    (sent, received) => {
      metrics.controlBytes.inc({with: 'log', direction: 'sent'}, sent);
      metrics.controlBytes.inc({with: 'log', direction: 'received'}, received);
    },
  );
  const host = new EntryHost({
    settings,
    log: platform,
    hostList: platform,
    clock: systemClock,
    random: seededRandom(randomInt(2 ** 31)),
    logger,
    metrics,
    incarnation: Date.now(),
  });
  const stop = async (): Promise<void> => {
    await host.stop();
    await platform.close();
  };
  let stopped: Promise<void> | undefined;
  process.once('SIGTERM', () => (stopped ??= stop()));
  process.once('SIGINT', () => (stopped ??= stop()));
  // Requests in flight are finished before the process ends.
  process.on('uncaughtException', error => {
    logger.fatal({error}, 'stopping because of an internal error');
    process.exitCode = EXIT_UNCAUGHT_ERROR;
    stopped ??= stop();
  });
  await host.start();
}

await main();
