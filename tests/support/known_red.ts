/**
 * Tests of real faults that aren't mended yet: KNOWN-RED.txt at the root names
 * them, they are passed over, and the file is printed at each run.
 * `KNOWN_RED=run` runs them like the others.
 */

import {existsSync, readFileSync} from 'node:fs';

const FILE = 'KNOWN-RED.txt';
const ENTRY = /^test: (.+)$/gm;

export function knownFailuresText(): string {
  return existsSync(FILE) ? readFileSync(FILE, 'utf8') : '';
}

/** As `FILE > NAME`. */
export function knownFailingTests(): ReadonlySet<string> {
  const names = [...knownFailuresText().matchAll(ENTRY)].map(match => match[1]);
  return new Set(names.flatMap(name => name ?? []));
}
