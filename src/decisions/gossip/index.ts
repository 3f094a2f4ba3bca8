export {MOST_TOLD} from './constants.js';
export type {GossipParts} from './gossip.js';
export {Gossip} from './gossip.js';
export * from './types.js';
