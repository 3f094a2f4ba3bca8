/** Reads the log files that a command was given. */

import {readFile} from 'node:fs/promises';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {ParsedLog} from '../explain/index.js';
import {parseLog} from '../explain/index.js';

/** A file that can't be read; the message names the remedy. */
export class LogFileError extends Error {}

export async function readLogFiles(
  files: readonly string[],
): Promise<Result<readonly ParsedLog[], LogFileError>> {
  const texts: ParsedLog[] = [];
  for (const file of files) {
    try {
      texts.push(parseLog(await readFile(file, 'utf8')));
    } catch (error) {
      return err(
        new LogFileError(
          `cannot read ${file} (${String(error)}): name log files`,
        ),
      );
    }
  }
  return ok(texts);
}
