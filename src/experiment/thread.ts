/** A thread that plays scenarios one after the other. */

import {parentPort} from 'node:worker_threads';
import {emulate, readScenario} from '../emulator/index.js';
import type {ExperimentRun, ExperimentResult} from './types.js';

parentPort?.on('message', (play: ExperimentRun) => {
  const scenario = readScenario(play.file);
  if (scenario.isErr()) {
    throw scenario.error;
  }
  const outcome = emulate(scenario.value, play.seed, play.policy.options);
  parentPort?.postMessage({run: play, outcome} satisfies ExperimentResult);
});
