/** Runs an entry host on the platform as a daemon. */

import {randomInt} from 'node:crypto';
import type {Logger} from 'pino';
import {pino} from 'pino';
import {GatewayMetrics} from '../gateway/index.js';
import {StoreClient, readSettings} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import {seededRandom, systemClock} from '../time/index.js';
import {GatewayHost} from './gateway_host.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
/** Node's own code for an error that nobody caught. */
const EXIT_UNCAUGHT_ERROR = 1;
const EXIT_BAD_SETTINGS = 2;
const EXIT_CANNOT_LISTEN = 3;
const SEED_RANGE = 2 ** 31;
/** Log lines are written asynchronously in chunks of this size. */
const LOG_CHUNK_BYTES = 4_096;
/**
 * Lines are buffered up to this size while nobody reads the log; further ones are
 * dropped. An unlimited buffer would grow until the process is killed for its memory.
 */
const MAX_BUFFERED_LOG_BYTES = 2 * 1024 * 1024;
/**
 * Limits how long lines are buffered: a process that is killed loses those that
 * explain why.
 */
const LOG_FLUSH_INTERVAL_MS: Milliseconds = 1_000;

function createLogger(): Logger {
  return pino(
    {base: undefined},
    pino.destination({
      dest: 1,
      sync: false,
      minLength: LOG_CHUNK_BYTES,
      maxLength: MAX_BUFFERED_LOG_BYTES,
    }),
  );
}

/** Starts a host; SIGTERM or SIGINT shuts it down. */
export async function runHost(): Promise<void> {
  const settings = readSettings(process.env);
  if (settings.isErr()) {
    process.stderr.write(`cyclamenlever: ${settings.error.message}\n`);
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  const logger = createLogger();
  const metrics = new GatewayMetrics();
  const store = new StoreClient(settings.value.store, (call, outcome) =>
    metrics.countStoreCall(call, outcome),
  );
  const host = new GatewayHost({
    settings: settings.value,
    store,
    clock: systemClock,
    random: seededRandom(randomInt(SEED_RANGE)),
    logger,
    metrics,
  });
  let stopped: Promise<void> | undefined;
  const stop = async (exitCode: number): Promise<void> => {
    const exit = (): void => {
      logger.flush();
      process.exit(exitCode);
    };
    setTimeout(exit, settings.value.graceMs).unref();
    try {
      await host.stop();
      store.close();
    } finally {
      exit();
    }
  };
  // What no boundary contains may have left the state of this host half changed. Requests
  // in flight are finished before the process ends.
  process.on('uncaughtException', error => {
    metrics.countInternalError();
    logger.fatal(
      {event: 'uncaught-error', error},
      'stopping because of an internal error',
    );
    logger.flush();
    stopped ??= stop(EXIT_UNCAUGHT_ERROR);
  });
  // Repeated signals are ignored. Their default would end the process at once and
  // abort the requests in flight.
  for (const signal of STOP_SIGNALS) {
    process.on(signal, () => (stopped ??= stop(0)));
  }
  process.on('SIGHUP', () => {
    logger.info(
      {event: 'reload'},
      'settings changed; they take effect at the next start',
    );
  });
  setInterval(() => logger.flush(), LOG_FLUSH_INTERVAL_MS).unref();
  try {
    await host.start();
  } catch (error) {
    // The logger is asynchronous, and this process ends at once.
    process.stderr.write(
      `cyclamenlever: cannot listen (${String(error)}): ` +
        'end what holds the address, or change the settings\n',
    );
    process.exit(EXIT_CANNOT_LISTEN);
  }
  logger.flush();
}
