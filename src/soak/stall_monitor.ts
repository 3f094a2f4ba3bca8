/**
 * Notes when this process, which runs all callers and upstreams, notices nothing, and when
 * it is too slow to offer the capacity of the upstreams.
 */

import type {Milliseconds} from '../time/index.js';
import {FAULT_RECOVERY_MS} from './constants.js';
import type {History} from './history.js';

const INTERVAL_MS: Milliseconds = 20;
/** Half of a request's work at upstreams: they run a third fewer requests then. */
const MAX_DELAY_MS: Milliseconds = 100;

/** @returns ends the monitoring */
export function monitorStalls({clock, customers, stalls}: History): () => void {
  let last = clock.now();
  const timer = setInterval(() => {
    const now = clock.now();
    if (now - last > 2 * INTERVAL_MS) {
      stalls.push({from: last + INTERVAL_MS, to: now});
    }
    if (now - last > INTERVAL_MS + MAX_DELAY_MS) {
      customers.capacityFaults.push({from: last, to: now + FAULT_RECOVERY_MS});
    }
    last = now;
  }, INTERVAL_MS);
  return () => clearInterval(timer);
}
