export type {Tunnel, TunnelFailure, TunnelOpener} from './types.js';
export {TunnelError} from './errors.js';
export {splice} from './splice.js';
export {TunnelClient} from './tunnel_client.js';
export {TUNNELS_ENDING, TunnelServer} from './tunnel_server.js';
