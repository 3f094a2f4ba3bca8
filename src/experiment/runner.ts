/** Plays on some of the machine's cores, each play in a thread of its own. */

import {availableParallelism} from 'node:os';
import {Worker} from 'node:worker_threads';
import type {ExperimentRun, ExperimentResult} from './types.js';

/** Share of the cores that are used: the rest is for whoever works here. */
const CORE_SHARE = 0.5;

/**
 * Results come in the order of the plays, whichever ended first.
 *
 * @param onProgress told how many have been played
 */
export async function runAll(
  plays: readonly ExperimentRun[],
  onProgress: (played: number) => void,
): Promise<readonly ExperimentResult[]> {
  const queue = [...plays.entries()];
  const results = new Map<number, ExperimentResult>();
  const threads = Math.max(1, Math.floor(availableParallelism() * CORE_SHARE));
  const work = async (): Promise<void> => {
    const worker = new Worker(new URL('./thread.js', import.meta.url));
    try {
      for (let next = queue.shift(); next; next = queue.shift()) {
        const [index, play] = next;
        results.set(index, await runIn(worker, play));
        onProgress(results.size);
      }
    } finally {
      await worker.terminate();
    }
  };
  await Promise.all(
    Array.from({length: Math.min(threads, plays.length)}, work),
  );
  return plays.flatMap((_, index) => results.get(index) ?? []);
}

function runIn(worker: Worker, play: ExperimentRun): Promise<ExperimentResult> {
  return new Promise((resolve, reject) => {
    const onError = (error: unknown): void => {
      reject(error instanceof Error ? error : new Error(String(error)));
    };
    worker.once('error', onError);
    worker.once('message', (result: ExperimentResult) => {
      worker.off('error', onError);
      resolve(result);
    });
    worker.postMessage(play);
  });
}
