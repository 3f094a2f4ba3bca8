/** `npm run bench:policy` compares values; docs/design/routing.md has its figures. */

/** Exponential window of an upstream's recent completion rate. */
export const RECENT_RATE_WINDOW_MS = 30;
/** Exponential window of its long-term completion rate. */
export const LONG_TERM_RATE_WINDOW_MS = 2_000;
/** Weight of the long-term rate in the recent one, in ms of one busy slot. */
export const RECENT_RATE_PRIOR_MS = 300;
/** Weight of the service's mean rate in an upstream's long-term one, likewise. */
export const LONG_TERM_RATE_PRIOR_MS = 200;
/** Service time assumed before the first completion. */
export const INITIAL_SERVICE_MS = 10;
/** Time constant with which a report of other hosts' requests decays to their mean number. */
export const REPORT_WINDOW_MS = 40;
/** Time constant with which that mean number decays to zero. */
export const MEAN_OTHERS_WINDOW_MS = 300;
/** Weight of one report in the mean number of other hosts' requests. */
export const MEAN_OTHERS_SAMPLE_WEIGHT = 0.1;
/** Requests beyond an upstream's slots that may be in transit to it. */
export const SLOT_SLACK = 1;
/** Upstreams compared for one decision, to bound its cost. */
export const MAX_CANDIDATES = 32;
/** Weight of one response in an upstream's share of errors. */
export const ERROR_SAMPLE_WEIGHT = 0.2;
/** Share of errors above which an upstream is ejected. */
export const EJECT_ERROR_SHARE = 0.5;
/** At most this share of a service's upstreams is ejected at a time. */
export const MAX_EJECTED_SHARE = 0.3;
/** Duration of the first ejection; doubles each time up to the maximum. */
export const FIRST_EJECTION_MS = 500;
export const MAX_EJECTION_MS = 30_000;
/** Successes in a row that end the trial phase after an ejection. */
export const TRIAL_SUCCESSES = 3;
/** Slow start: time until all slots of an upstream new to this host are used. */
export const COLD_RAMP_MS = 2_000;
/** Share of its slots that are used at the beginning of the slow start. */
export const COLD_START_SHARE = 0.34;
