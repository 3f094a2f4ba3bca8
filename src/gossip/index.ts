export type {RecordCodec} from './codec.js';
export {decodeGossip, encodeGossip} from './codec.js';
export {GossipExchange} from './gossip_exchange.js';
