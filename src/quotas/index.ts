export {decodeQuotaMessage, encodeQuotaMessage} from './codec.js';
export type {QuotaExchangeParts} from './quota_exchange.js';
export {RefusalLog} from './refusal_log.js';
export {QuotaExchange} from './quota_exchange.js';
