/** A thread that plays scenarios one after the other. */

import {parentPort} from 'node:worker_threads';
import {emulate, readScenario} from '../emulator/index.js';
import type {Play, PlayResult} from './types.js';

parentPort?.on('message', (play: Play) => {
  const scenario = readScenario(play.file);
  if (scenario.isErr()) {
    throw scenario.error;
  }
  const outcome = emulate(scenario.value, play.seed, play.policy.options);
  parentPort?.postMessage({play, outcome} satisfies PlayResult);
});
