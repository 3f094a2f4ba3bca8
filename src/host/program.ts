/** The daemon of an entry host on the platform. */

import {randomInt} from 'node:crypto';
import {pino} from 'pino';
import {GatewayMetrics} from '../gateway/index.js';
import {StoreClient, readSettings} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import {seededRandom, systemClock} from '../time/index.js';
import {GatewayHost} from './gateway_host.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
const EXIT_BAD_SETTINGS = 2;
const EXIT_CANNOT_LISTEN = 3;
const SEED_RANGE = 2 ** 31;
/** Log lines are written in pieces of this size, off the loop. */
const LOG_CHUNK_BYTES = 4_096;
/**
 * Lines that wait for a reader who has stopped reading. More are dropped:
 * they would grow until the process is killed for its memory.
 */
const MAX_BUFFERED_LOG_BYTES = 2 * 1024 * 1024;
/**
 * Lines wait no longer than this to be written: those of a process that is
 * killed are lost, and they are what tells why.
 */
const LOG_FLUSH_INTERVAL_MS: Milliseconds = 1_000;

/** Runs a host until it is stopped. */
export async function runHost(): Promise<void> {
  const settings = readSettings(process.env);
  if (settings.isErr()) {
    process.stderr.write(`cyclamenlever: ${settings.error.message}\n`);
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  const logger = pino(
    {base: undefined},
    pino.destination({
      dest: 1,
      sync: false,
      minLength: LOG_CHUNK_BYTES,
      maxLength: MAX_BUFFERED_LOG_BYTES,
    }),
  );
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
  const stop = async (): Promise<void> => {
    await host.stop();
    store.close();
    logger.flush();
    process.exit(0);
  };
  let stopped: Promise<void> | undefined;
  // A signal that comes again changes nothing: left to its default, it would end the
  // process at once and cut off the requests that are about to be answered.
  for (const signal of STOP_SIGNALS) {
    process.on(signal, () => (stopped ??= stop()));
  }
  process.on('SIGHUP', () => {
    logger.info(
      {event: 'reload'},
      'settings changed; they hold from the next start',
    );
  });
  setInterval(() => logger.flush(), LOG_FLUSH_INTERVAL_MS).unref();
  try {
    await host.start();
  } catch (error) {
    // The logger writes later; this process ends now.
    process.stderr.write(
      `cyclamenlever: cannot listen (${String(error)}): ` +
        'end what holds the address, or change the settings\n',
    );
    process.exit(EXIT_CANNOT_LISTEN);
  }
  logger.flush();
}
