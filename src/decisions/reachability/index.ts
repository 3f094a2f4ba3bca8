export type {CutEvidence, ReachabilityChange} from './types.js';
export type {ReachabilityParts} from './reachability.js';
export {Reachability} from './reachability.js';
export type {TunnelPeersParts} from './tunnel_peers.js';
export {TunnelPeers} from './tunnel_peers.js';
