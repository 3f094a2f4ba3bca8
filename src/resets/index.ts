export {decodeEvidence, encodeEvidence} from './codec.js';
export {ResetExchange} from './reset_exchange.js';
