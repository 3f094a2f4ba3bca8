import type {Milliseconds} from '../time/index.js';

/** After a disturbance a host is held to times only once it has rested. */
export const FAULT_RECOVERY_MS: Milliseconds = 3_000;
/** A busy machine that runs all of it may be late by so much. */
export const TIMING_SLACK_MS: Milliseconds = 1_500;
/** Requests a second that an upstream bears while cold, as operators state it, ... */
export const COLD_PER_SECOND = 3.9;
/** ... what all hosts may send of that, ... */
export const COLD_OVERAGE = 1.5;
/** ... and on top of it; ... */
export const COLD_SLACK = 8;
/** ... so many in any one second. */
export const COLD_MAX_PER_SECOND = Math.floor(
  COLD_PER_SECOND * COLD_OVERAGE + COLD_SLACK,
);
/** What the harmful caller asks. */
export const HARMFUL_TARGET = '/lookup/harmful';
/** Time in which all hosts act on what some have learnt. */
export const PROPAGATION_MS: Milliseconds = 3_000;
/** An upstream that leaves serves on for so long after it has said so. */
export const LEAVING_DURATION_MS: Milliseconds = 4_000;
