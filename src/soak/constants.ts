import type {Milliseconds} from '../time/index.js';

/** After a disturbance a host is held to times only once it has rested. */
export const REST_MS: Milliseconds = 3_000;
/** A busy machine that runs all of it may be late by so much. */
export const SLACK_MS: Milliseconds = 1_500;
/** What the harmful caller asks. */
export const HARMFUL_TARGET = '/lookup/harmful';
/** Time in which all hosts act on what some have learnt. */
export const CONTACT_MS: Milliseconds = 3_000;
