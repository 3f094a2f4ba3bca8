/** Turns text into statements; the grammar is in `grammar.peggy`. */

import {closest, distance} from 'fastest-levenshtein';
import {Result, err, ok} from 'neverthrow';
import type {LanguageError} from './errors.js';
import * as grammar from './generated/grammar.js';
import type {Location, Statement} from './types.js';

/** A word further away than this many edits is no likely misspelling. */
const MAX_EDIT_DISTANCE = 3;

/** Parses a program: any number of statements, each ended by `;` or space. */
export function parseProgram(
  text: string,
): Result<readonly Statement[], LanguageError> {
  try {
    return ok(grammar.parse(text) as readonly Statement[]);
  } catch (error) {
    if (error instanceof grammar.SyntaxError) {
      return err(toLanguageError(text, error));
    }
    throw error;
  }
}

/** The valid word nearest to `word`, if any is near enough to be meant. */
export function nearestWord(
  word: string,
  valid: readonly string[],
): string | undefined {
  if (word === '' || valid.length === 0) {
    return undefined;
  }
  const nearest = closest(word, [...valid]);
  return distance(word, nearest) <= MAX_EDIT_DISTANCE ? nearest : undefined;
}

/** Renders a location the way editors do. */
export function formatLocation(location: Location): string {
  return `line ${location.line}, column ${location.column}`;
}

function toLanguageError(
  text: string,
  error: InstanceType<typeof grammar.SyntaxError>,
): LanguageError {
  const location = error.location.start;
  const found = /^\S*/.exec(text.slice(location.offset))?.[0] ?? '';
  const expected = error.expected ?? [];
  const literals = expected.flatMap(item =>
    item.type === 'literal' && /^[a-z]+$/.test(item.text) ? [item.text] : [],
  );
  const others = expected.flatMap(item =>
    item.type === 'other' && item.description !== 'a comment'
      ? [item.description]
      : [],
  );
  const wanted = [...new Set([...literals, ...others])].join(', ');
  const nearest = nearestWord(found, literals);
  const hint = nearest ? ` Did you mean "${nearest}"?` : '';
  const shown = found === '' ? 'the end of the text' : `"${found}"`;
  return {
    kind: 'syntax',
    location,
    message: `${formatLocation(location)}: found ${shown}, expected ${wanted}.${hint}`,
  };
}
