/** Heap in use after a full collection, in bytes. */

import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

export function usedHeap(): number {
  collect();
  return process.memoryUsage().heapUsed;
}
