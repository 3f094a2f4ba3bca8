/** Distributes runs over worker threads on some of the machine's cores. */

import {availableParallelism} from 'node:os';
import {Worker} from 'node:worker_threads';
import type {ExperimentRun, ExperimentResult} from './types.js';

/** Share of the cores that are used; the rest stays free for other work. */
const CORE_SHARE = 0.5;

/**
 * Returns the results in the order of the runs.
 *
 * @param onProgress called with the number of finished runs
 */
export async function runAll(
  runs: readonly ExperimentRun[],
  onProgress: (finished: number) => void,
): Promise<readonly ExperimentResult[]> {
  const queue = [...runs.entries()];
  const results = new Map<number, ExperimentResult>();
  const threads = Math.max(1, Math.floor(availableParallelism() * CORE_SHARE));
  const work = async (): Promise<void> => {
    const worker = new Worker(new URL('./thread.js', import.meta.url));
    try {
      for (let next = queue.shift(); next; next = queue.shift()) {
        const [index, run] = next;
        results.set(index, await runIn(worker, run));
        onProgress(results.size);
      }
    } finally {
      await worker.terminate();
    }
  };
  await Promise.all(Array.from({length: Math.min(threads, runs.length)}, work));
  return runs.flatMap((_, index) => results.get(index) ?? []);
}

function runIn(worker: Worker, run: ExperimentRun): Promise<ExperimentResult> {
  return new Promise((resolve, reject) => {
    const onError = (error: unknown): void => {
      reject(error instanceof Error ? error : new Error(String(error)));
    };
    worker.once('error', onError);
    worker.once('message', (result: ExperimentResult) => {
      worker.off('error', onError);
      resolve(result);
    });
    worker.postMessage(run);
  });
}
