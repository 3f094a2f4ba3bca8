export type {FleetRetries} from './host_retries.js';
export {HostRetries} from './host_retries.js';
export {RatioBudget} from './ratio_budget.js';
export {QuantileEstimate} from './quantile_estimate.js';
export {WindowBudget} from './window_budget.js';
