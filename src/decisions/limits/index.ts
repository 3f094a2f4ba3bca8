export type {QueuedRequest} from './fair_queue.js';
export type {Download, DownloadLoad} from './download_limit.js';
export {DownloadLimit} from './download_limit.js';
export {ByteBudget} from './byte_budget.js';
export {LogRateLimiter} from './log_rate_limiter.js';
export {FairQueue} from './fair_queue.js';
export {BoundedSet} from './bounded_set.js';
export {RandomPermits, PERMIT_LIFETIME_MS} from './random_permits.js';
export {maxPoissonMean} from './poisson_bound.js';
