/** Finds the lines that concern requests in the logs of entry hosts. */

import type {LocatedLine} from './types.js';
import {LOG_LINE} from './types.js';

/** Lines of other kinds, and what is no line of a host, are left out. */
export function readLines(text: string): readonly LocatedLine[] {
  return text.split('\n').flatMap(row => readLine(row) ?? []);
}

/** Collectors put a time or a host's name before the line. */
function readLine(row: string): LocatedLine | undefined {
  const start = row.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  const parsed = LOG_LINE.safeParse(parseJson(row.slice(start)));
  return parsed.success
    ? {origin: row.slice(0, start).trim(), line: parsed.data}
    : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // A line that was cut off when its process was killed.
    return undefined;
  }
}
