import type {QuotaTolerance} from '../decisions/quotas/index.js';
import type {Milliseconds} from '../time/index.js';

/** Time limits don't apply to a host for this long after a fault. */
export const FAULT_RECOVERY_MS: Milliseconds = 3_000;
/** Allowance for delays on a busy machine that runs the whole testbed. */
export const TIMING_SLACK_MS: Milliseconds = 1_500;
/** Requests per second that an upstream can serve while cold, as configured. */
export const COLD_PER_SECOND = 3.9;
/** Factor on COLD_PER_SECOND that all hosts together may send. */
export const COLD_OVERAGE = 1.5;
/** Requests that they may send in addition. */
export const COLD_SLACK = 8;
/** Resulting maximum in any one second. */
export const COLD_MAX_PER_SECOND = Math.floor(
  COLD_PER_SECOND * COLD_OVERAGE + COLD_SLACK,
);
/** Target of the request that crashes each upstream that executes it. */
export const HARMFUL_TARGET = '/lookup/harmful';
/** Time within which all hosts act on information that some of them have. */
export const PROPAGATION_MS: Milliseconds = 3_000;
/** Time for which an upstream continues to serve after announcing that it leaves. */
export const LEAVING_DURATION_MS: Milliseconds = 4_000;
/** Retries that all hosts together may send, per request and in addition. */
export const RETRY_RATIO = 0.2;
export const RETRY_SLACK = 50;
/** Each host must apply a new configuration within this time. */
export const MAX_APPLY_DELAY_MS: Milliseconds = 2_000;
/** How closely hosts must keep the quotas of customers, as in their settings. */
export const QUOTA_TOLERANCE: QuotaTolerance = {
  windowMs: 5_000,
  overage: 0.1,
  slack: 20,
};
