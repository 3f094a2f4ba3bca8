/** Finds the lines that concern requests in the logs of entry hosts. */

import type {LocatedLine, ParsedLog} from './types.js';
import {LOG_LINE} from './types.js';

type Row =
  | {readonly kind: 'line'; readonly located: LocatedLine}
  /** A host's line about something else. */
  | {readonly kind: 'other'}
  | {readonly kind: 'cut'}
  | {readonly kind: 'foreign'};

/** Lines about other matters are left out, what is no line is counted. */
export function parseLog(text: string): ParsedLog {
  const rows = text
    .split('\n')
    .filter(row => row.trim() !== '')
    .map(parseRow);
  return {
    lines: rows.flatMap(row => (row.kind === 'line' ? [row.located] : [])),
    truncatedRows: rows.filter(({kind}) => kind === 'cut').length,
    foreignRows: rows.filter(({kind}) => kind === 'foreign').length,
  };
}

export function parseLogLines(text: string): readonly LocatedLine[] {
  return parseLog(text).lines;
}

/** Collectors put a time or a host's name before the line. */
function parseRow(row: string): Row {
  const start = row.indexOf('{');
  if (start < 0) {
    return {kind: 'foreign'};
  }
  const value = parseJson(row.slice(start));
  if (value === undefined) {
    // Its process was killed as it wrote.
    return {kind: 'cut'};
  }
  const parsed = LOG_LINE.safeParse(value);
  if (parsed.success) {
    const origin = row.slice(0, start).trim();
    return {kind: 'line', located: {origin, line: parsed.data}};
  }
  const isOwn = typeof value === 'object' && value !== null && 'event' in value;
  return {kind: isOwn ? 'other' : 'foreign'};
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
