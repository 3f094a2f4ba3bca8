export {LIMIT_CODEC} from './codec.js';
export type {RateLimitExchangeParts} from './rate_limit_exchange.js';
export {RateLimitExchange} from './rate_limit_exchange.js';
