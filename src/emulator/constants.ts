import type {Milliseconds} from '../time/index.js';

/** Time that a host's processor takes for one step of a request. */
export const HOST_STEP_MS: Milliseconds = 0.4;
