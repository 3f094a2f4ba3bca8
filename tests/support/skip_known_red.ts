/** Skips known failing tests; loaded in each test file. */

import {beforeEach} from 'vitest';
import {knownFailingTests} from './known_red.js';

const skipped =
  process.env['KNOWN_RED'] === 'run' ? new Set<string>() : knownFailingTests();

beforeEach(({task, skip}) => {
  if (skipped.has(`${task.file.name} > ${task.name}`)) {
    skip('known to fail');
  }
});
