/** Reports errors of this program that were contained. */

import type {Logger} from 'pino';

/** Fields that say what failed, such as the id of the request. */
export type ErrorFields = Readonly<Record<string, unknown>>;

export type ErrorReporter = (error: unknown, fields: ErrorFields) => void;

/** @param count counts the error in a metric */
export function createErrorReporter(
  logger: Logger,
  count: () => void,
): ErrorReporter {
  return (error, fields) => {
    count();
    logger.error(
      {event: 'internal-error', ...fields, error},
      'an internal error was contained',
    );
  };
}
