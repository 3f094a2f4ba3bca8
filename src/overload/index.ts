export {decodeDemand, encodeDemand} from './codec.js';
export type {OverloadExchangeParts} from './overload_exchange.js';
export {OverloadExchange} from './overload_exchange.js';
