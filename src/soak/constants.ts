import type {Milliseconds} from '../time/index.js';

/** After a disturbance a host is held to times only once it has rested. */
export const REST_MS: Milliseconds = 3_000;
/** A busy machine that runs all of it may be late by so much. */
export const SLACK_MS: Milliseconds = 1_500;
