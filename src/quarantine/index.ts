export {decodeNews, encodeNews} from './codec.js';
export {CrashExchange} from './crash_exchange.js';
