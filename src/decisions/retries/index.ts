export type {
  FleetRetryLimits,
  ServiceRetryUsage,
} from './host_retry_budgets.js';
export {HostRetryBudgets} from './host_retry_budgets.js';
export {RatioTokenBucket} from './ratio_token_bucket.js';
export {QuantileEstimate} from './quantile_estimate.js';
export type {RetryPermit, RetryUsage} from './sliding_window_budget.js';
export {SlidingWindowBudget} from './sliding_window_budget.js';
