export type {Tunnel, TunnelFailure, TunnelOpener} from './types.js';
export {TunnelError} from './errors.js';
export {FrameDecoder, FrameEncoder} from './framing.js';
export {splice} from './splice.js';
export {TunnelClient} from './tunnel_client.js';
export {TunnelSocket} from './tunnel_socket.js';
export {TUNNELS_ENDING, TunnelServer} from './tunnel_server.js';
