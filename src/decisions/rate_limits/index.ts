export * from './types.js';
export {RateLimitTable} from './rate_limit_table.js';
export type {RateLimitsParts} from './rate_limits.js';
export {RateLimits} from './rate_limits.js';
export {Senders} from './senders.js';
