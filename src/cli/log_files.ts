/** Reads the log files named in a command's arguments. */

import {createReadStream} from 'node:fs';
import {readFile} from 'node:fs/promises';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {ParsedLog} from '../explain/index.js';
import {parseLog} from '../explain/index.js';

/** Longer rows are cut. Hosts write lines of some kB. */
const MAX_ROW_CHARACTERS = 1024 * 1024;

/** A file can't be read; the message includes a remedy. */
export class LogFileError extends Error {}

export async function readLogFiles(
  files: readonly string[],
): Promise<Result<readonly ParsedLog[], LogFileError>> {
  const texts: ParsedLog[] = [];
  for (const file of files) {
    try {
      texts.push(parseLog(await readFile(file, 'utf8')));
    } catch (error) {
      return err(unreadable(file, error));
    }
  }
  return ok(texts);
}

/**
 * Parses log files block by block, so that files of any size need little memory.
 *
 * @param handle called with the parsed lines of each block
 */
export async function scanLogFiles(
  files: readonly string[],
  handle: (file: string, block: ParsedLog) => void,
): Promise<Result<void, LogFileError>> {
  for (const file of files) {
    try {
      for await (const block of readBlocks(file)) {
        handle(file, parseLog(block));
      }
    } catch (error) {
      return err(unreadable(file, error));
    }
  }
  return ok(undefined);
}

/** Describes the rows of files that are no lines of a host. */
export function describeSkippedRows(
  texts: readonly Omit<ParsedLog, 'lines'>[],
): string {
  const truncated = texts.reduce((sum, text) => sum + text.truncatedRows, 0);
  const foreign = texts.reduce((sum, text) => sum + text.foreignRows, 0);
  return `skipped: ${truncated} truncated lines, ${foreign} not written by a host\n`;
}

/** Yields whole rows, several at a time. */
async function* readBlocks(file: string): AsyncGenerator<string> {
  let rest = '';
  const chunks: AsyncIterable<string> = createReadStream(file, 'utf8');
  for await (const chunk of chunks) {
    const text = rest + chunk;
    const end = text.lastIndexOf('\n') + 1;
    rest = text.slice(end);
    if (end > 0) {
      yield text.slice(0, end);
    }
    if (rest.length > MAX_ROW_CHARACTERS) {
      yield rest;
      rest = '';
    }
  }
  if (rest !== '') {
    yield rest;
  }
}

function unreadable(file: string, error: unknown): LogFileError {
  return new LogFileError(
    `cannot read ${file} (${String(error)}): name log files`,
  );
}
