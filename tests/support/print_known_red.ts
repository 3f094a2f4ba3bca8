/** Prints the known failures once before all tests. */

import {knownFailuresText} from './known_red.js';

export function setup(): void {
  const text = knownFailuresText();
  if (text !== '') {
    process.stdout.write(`Skipped, known to fail:\n${text}\n`);
  }
}
