export {LEAVING_CODEC} from './codec.js';
export {LeavingExchange} from './leaving_exchange.js';
