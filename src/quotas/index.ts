export {decodeQuotaMessage, encodeQuotaMessage} from './codec.js';
export type {QuotaExchangeParts} from './quota_exchange.js';
export {QuotaExchange} from './quota_exchange.js';
