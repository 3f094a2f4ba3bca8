/** Worker thread that emulates scenarios one after the other. */

import {parentPort} from 'node:worker_threads';
import {emulate, readScenario} from '../emulator/index.js';
import type {ExperimentRun, ExperimentResult} from './types.js';

parentPort?.on('message', (run: ExperimentRun) => {
  const scenario = readScenario(run.file);
  if (scenario.isErr()) {
    throw scenario.error;
  }
  const outcome = emulate(scenario.value, run.seed, run.policy.options);
  parentPort?.postMessage({run, outcome} satisfies ExperimentResult);
});
