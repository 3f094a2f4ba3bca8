/** Tuned by `npm run bench:policy`; docs/design/routing.md has the figures. */

/** How long own completions count towards an upstream's current rate, in ms. */
export const RECENT_RATE_WINDOW_MS = 30;
/** How long they count towards its usual rate, in ms. */
export const LONG_TERM_RATE_WINDOW_MS = 2_000;
/** Weight of the usual rate in the current one, in ms of one busy slot. */
export const RECENT_RATE_PRIOR_MS = 300;
/** Weight of the service's mean rate in an upstream's usual one, likewise. */
export const LONG_TERM_RATE_PRIOR_MS = 200;
/** Service time assumed before anything has completed, in ms. */
export const INITIAL_SERVICE_MS = 10;
/** How long a report about other hosts' requests counts, in ms. */
export const REPORT_WINDOW_MS = 40;
/** How long the usual number of others' requests counts, in ms. */
export const MEAN_OTHERS_WINDOW_MS = 300;
/** Weight of one report in the usual number of others' requests. */
export const MEAN_OTHERS_SAMPLE_WEIGHT = 0.1;
/** Requests beyond an upstream's slots that may be on their way to it. */
export const SLOT_SLACK = 1;
/** Upstreams looked at for one decision, so that its cost stays flat. */
export const MAX_CANDIDATES = 32;
/** Weight of one answer in an upstream's share of errors. */
export const ERROR_SAMPLE_WEIGHT = 0.2;
/** Share of errors above which an upstream is ejected. */
export const EJECT_ERROR_SHARE = 0.5;
/** At most this share of a service's upstreams is ejected at a time. */
export const MAX_EJECTED_SHARE = 0.3;
/** First ejection, in ms; doubled each time up to the longest. */
export const FIRST_EJECTION_MS = 500;
export const MAX_EJECTION_MS = 30_000;
/** Successes in a row that end an upstream's trial after an ejection. */
export const TRIAL_SUCCESSES = 3;
/** An upstream new to this host reaches its full slots in this time, in ms. */
export const COLD_RAMP_MS = 2_000;
/** Share of its slots that a cold upstream starts with. */
export const COLD_START_SHARE = 0.34;
