/** Plays on some of the machine's cores, each play in a thread of its own. */

import {availableParallelism} from 'node:os';
import {Worker} from 'node:worker_threads';
import type {Play, PlayResult} from './types.js';

/** Share of the cores that are used: the rest is for whoever works here. */
const CORE_SHARE = 0.5;

/** @param onPlayed told of each play as it ends */
export async function playAll(
  plays: readonly Play[],
  onPlayed: (played: number) => void,
): Promise<readonly PlayResult[]> {
  const queue = [...plays];
  const results: PlayResult[] = [];
  const threads = Math.max(1, Math.floor(availableParallelism() * CORE_SHARE));
  const work = async (): Promise<void> => {
    const worker = new Worker(new URL('./thread.js', import.meta.url));
    try {
      for (let play = queue.shift(); play; play = queue.shift()) {
        results.push(await playIn(worker, play));
        onPlayed(results.length);
      }
    } finally {
      await worker.terminate();
    }
  };
  await Promise.all(
    Array.from({length: Math.min(threads, plays.length)}, work),
  );
  return results;
}

function playIn(worker: Worker, play: Play): Promise<PlayResult> {
  return new Promise((resolve, reject) => {
    const onError = (error: unknown): void => {
      reject(error instanceof Error ? error : new Error(String(error)));
    };
    worker.once('error', onError);
    worker.once('message', (result: PlayResult) => {
      worker.off('error', onError);
      resolve(result);
    });
    worker.postMessage(play);
  });
}
