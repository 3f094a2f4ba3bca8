/**
 * Reads KNOWN-RED.txt at the root, which lists tests that fail because of unfixed
 * faults. They are skipped, and the file is printed at each run. `KNOWN_RED=run` runs
 * them like the others.
 */

import {existsSync, readFileSync} from 'node:fs';

const FILE = 'KNOWN-RED.txt';
const ENTRY = /^test: (.+)$/gm;

export function knownFailuresText(): string {
  return existsSync(FILE) ? readFileSync(FILE, 'utf8') : '';
}

/** Names in the form `FILE > NAME`. */
export function knownFailingTests(): ReadonlySet<string> {
  const names = [...knownFailuresText().matchAll(ENTRY)].map(match => match[1]);
  return new Set(names.flatMap(name => name ?? []));
}
