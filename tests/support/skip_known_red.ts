/** Runs in each test file. */

import {beforeEach} from 'vitest';
import {knownRedTests} from './known_red.js';

const passedOver =
  process.env['KNOWN_RED'] === 'run' ? new Set<string>() : knownRedTests();

beforeEach(({task, skip}) => {
  if (passedOver.has(`${task.file.name} > ${task.name}`)) {
    skip('known to fail');
  }
});
