export {MAX_SYNC_RECORDS} from './constants.js';
export type {GossipParts} from './gossip.js';
export {Gossip} from './gossip.js';
export * from './types.js';
