export type {LoadMessage} from './codec.js';
export {decodeMessage, encodeMessage} from './codec.js';
export {LoadExchange} from './load_exchange.js';
