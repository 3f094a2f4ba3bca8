export * from './types.js';
export {LimitBook} from './limit_book.js';
export type {RateLimitsParts} from './rate_limits.js';
export {RateLimits} from './rate_limits.js';
export {Senders} from './senders.js';
