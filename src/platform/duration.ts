/** The platform's notation of durations: `1500ms`, `2.5s`. */

import {RecordError} from '../records/index.js';
import type {Milliseconds} from '../time/index.js';

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s)$/;
const MS_PER_SECOND = 1_000;

/** Undefined when the text is not a duration. */
export function parseDuration(text: unknown): Milliseconds | undefined {
  const match = typeof text === 'string' ? DURATION_PATTERN.exec(text) : null;
  if (!match) {
    return undefined;
  }
  const value = Number(match[1]);
  return match[2] === 's' ? value * MS_PER_SECOND : value;
}

export function duration(value: unknown, field: string): Milliseconds {
  const parsed = parseDuration(value);
  if (parsed === undefined) {
    throw new RecordError(field, 'write a duration like 1500ms');
  }
  return parsed;
}
