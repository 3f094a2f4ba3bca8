/** The platform's text form of durations: `1500ms`, `2.5s`. */

import type {Milliseconds} from '../time/index.js';

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s)$/;
const MS_PER_SECOND = 1_000;

/** Undefined when the text is no duration. */
export function parseDuration(text: unknown): Milliseconds | undefined {
  const match = typeof text === 'string' ? DURATION_PATTERN.exec(text) : null;
  if (!match) {
    return undefined;
  }
  const value = Number(match[1]);
  return match[2] === 's' ? value * MS_PER_SECOND : value;
}
