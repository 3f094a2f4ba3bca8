import type {Milliseconds} from '../time/index.js';

/** CPU time of a host for one step of a request. */
export const HOST_STEP_MS: Milliseconds = 0.4;
